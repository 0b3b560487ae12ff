"""The direct way: entries that call endpoints themselves, without an endpoint daemon.

Decisions only: what is called lives in `persimmonstall_daemon.direct`, and how a platform spells
its messages in the adapter of that platform.
"""
