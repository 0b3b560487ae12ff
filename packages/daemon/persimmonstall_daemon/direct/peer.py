"""What an entry knows of another one."""

import math

import attrs

ACTIVE_TIMEOUT_SECONDS = 3.0
"""Silence after which a peer no longer counts as active."""


@attrs.define
class Peer:
    """Another entry.

    `last_heard` is when its last beacon arrived, None before the first.  `last_named` is when
    its address was last received, from itself or from another source.  `configuration` and
    `endpoints` are the versions that it has, `endpoints_digest` is the digest of its list.  `link`
    is its bandwidth in bytes per second, `whole_due` the time of the next beacon to it with the
    complete state.  `leaving` says that it is stopping.
    """

    address: str
    run: int = 0
    sequence: int = 0
    last_heard: float | None = None
    last_named: float = 0.0
    configuration: int = 0
    endpoints: int = 0
    link: float = math.inf
    whole_due: float = 0.0
    endpoints_digest: int = 0
    leaving: bool = False

    def is_active(self, now):
        """Return whether a beacon of the peer arrived lately."""
        return self.last_heard is not None and now - self.last_heard <= ACTIVE_TIMEOUT_SECONDS
