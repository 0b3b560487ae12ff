"""Direct mode: entries that call endpoints themselves, without an endpoint daemon.

This package only makes decisions.  Network input and output is in `persimmonstall_daemon.direct`,
and the message format of a platform is in the adapter of that platform.
"""
