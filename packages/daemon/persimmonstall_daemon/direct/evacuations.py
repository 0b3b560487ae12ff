"""Tells the other entries which data centres are evacuated, and learns that from them."""

from persimmonstall.direct.change_log import ChangeLog
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.evacuations import decode_fields, encode_fields
from persimmonstall.direct.reports import Report
from persimmonstall.failures import Failure

from ..observe import logs

MS_PER_SECOND = 1000.0

DIRECTORY = "directory"
"""Source of what this entry has read itself, and so passes on at once."""


class EvacuationReporter(Report):
    """Exchanges the evacuations of an entry with its peers; logs and counts each change.

    Only what the directory said is passed on at once: few entries read it, and all would repeat
    it to all.  The complete states make up for lost datagrams, whoever sends them.
    """

    kind = Kind.EVACUATIONS
    urgent = True

    def __init__(self, entry):
        self.entry = entry
        self.log = logs.get("evacuations")
        self.change_log = ChangeLog()
        entry.peers.add_report(self)

    def changes(self, now):
        """Return everything if it changed lately; it is short."""
        return self.state(now) if self.change_log.pending() else None

    def state(self, now):
        """Return everything while there is an evacuation, and for a while after the last one."""
        evacuations = self.entry.state.evacuations
        if not evacuations.is_news(now):
            return None
        return encode_fields(self.entry.peers.address, evacuations.snapshot(now))

    def mark_sent(self):
        """Record that the latest changes were sent."""
        self.change_log.mark_sent()

    def merge(self, fields, now):
        """Merge what another entry knows; return a `Failure` if the fields are malformed."""
        decoded = decode_fields(fields)
        if isinstance(decoded, Failure):
            return decoded
        address, update = decoded
        if self.entry.state.apply_update(update, now):
            self.record_change(address)
        return None

    def expire(self, now):
        """Drop evacuations that the directory has lacked since it came back from an old copy."""
        if self.entry.state.expire_evacuations(now):
            self.record_change("expired")

    def record_change(self, source):
        """Log which data centres are evacuated now; pass on what the directory said."""
        evacuations, now = self.entry.state.evacuations, self.entry.now()
        age = now - self.entry.state.directory_seen_at
        self.log.warning(
            "evacuations_changed",
            data_centres=sorted(evacuations.since),
            source=source,
            revision=evacuations.revision,
            directory_age_ms=round(age * MS_PER_SECOND),
        )
        self.entry.metrics.gauge("direct_evacuated", len(evacuations.since))
        if source == DIRECTORY:
            self.change_log.record(DIRECTORY)
            self.entry.peers.announce()
