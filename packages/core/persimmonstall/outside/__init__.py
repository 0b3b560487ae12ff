"""Abstract base classes for the systems around persimmonstall.

Each says what may be late, lost, lagging or doubled.  Adapters live in the daemon package;
stand-ins for tests live in the stand-ins package.  Every method that can fail in an expected
way returns a `Failure` instead of raising.
"""
