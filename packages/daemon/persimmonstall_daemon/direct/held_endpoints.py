"""Endpoints that an old copy of the directory lists again: tells the peers, reads their rows."""

import math

from persimmonstall.direct.change_log import ChangeLog
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.departures import decode_held, encode_held
from persimmonstall.direct.reports import Report
from persimmonstall.failures import Failure

from ..observe import logs

READ_AGAIN_SECONDS = 0.5
"""Interval at which the rows of endpoints that are held back are read again."""

READ_FOR_SECONDS = 10.0
"""Time after an endpoint was held back for which its row is read at that interval."""


class HeldEndpoints(Report):
    """Exchanges with the peers which endpoints are held back; logs and counts each change.

    An entry that has started since does not know that they had left.
    """

    kind = Kind.HELD_ENDPOINTS
    urgent = True

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("endpoints")
        self.change_log = ChangeLog()
        self.known = {}
        self.read_at = -math.inf
        entry.peers.add_report(self)

    @property
    def held(self):
        """The endpoints that are held back, by name."""
        return self.entry.state.fleet.departures.held

    def changes(self, now):
        """Return everything if it changed lately; it is short."""
        return self.state(now) if self.change_log.pending() else None

    def state(self, now):
        """Return all endpoints that are held back, None if none is."""
        return encode_held(self.held.values()) if self.held else None

    def mark_sent(self):
        """Record that the latest changes were sent."""
        self.change_log.mark_sent()

    def merge(self, fields, now):
        """Hold back what another entry does; return a `Failure` if the fields are malformed."""
        decoded = decode_held(fields)
        if isinstance(decoded, Failure):
            return decoded
        for lifetime, stamp in decoded:
            self.entry.state.fleet.hold(lifetime, stamp, now)
        self.review()
        return None

    def tick(self, now):
        """Log and tell what has changed, and have rows read again that may be written anew."""
        self.review()
        waiting = any(now - held.at < READ_FOR_SECONDS for held in self.held.values())
        if waiting and now - self.read_at >= READ_AGAIN_SECONDS:
            self.read_at = now
            self.entry.directory.read_endpoints_again()

    def review(self):
        """Log and count the endpoints that are held back now, and those that no longer are."""
        if self.held == self.known:
            return
        for name in set(self.held) - set(self.known):
            self.change_log.record(name)
            self.log.warning("endpoint_held", endpoint=name, reason="listed by an old copy")
        for name in set(self.known) - set(self.held):
            listed = name in self.entry.state.fleet.endpoints
            reason = "its row was written anew" if listed else "its row was removed"
            self.log.info("endpoint_released", endpoint=name, reason=reason)
        self.known = dict(self.held)
        self.entry.metrics.gauge("direct_held_endpoints", len(self.held))
        self.entry.peers.schedule_beacon(True)
