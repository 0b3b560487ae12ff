"""Interfaces to the systems that persimmonstall uses, as abstract base classes.

Each documents which data may be late, lost, outdated or duplicated.  The daemon package has the
adapters; the stand-ins package has implementations for tests.  Methods that can fail in an
expected way return a `Failure` instead of raising.
"""
