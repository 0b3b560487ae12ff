"""Records this entry's attempts in the load tracker and reports each change to the peers."""

import attrs

from ..observe import logs

LOG = logs.get("loads")


@attrs.define
class LoadReporter:
    """Updates the `load_tracker` and calls `on_change(urgent)` after each change."""

    entry: object
    on_change: object

    @property
    def load_tracker(self):
        """The load tracker, which holds the attempts of all entries."""
        return self.entry.state.load_tracker

    def begin(self, attempt):
        """Add an attempt; the peers must learn of it before they place their next call."""
        self.load_tracker.begin(attempt, self.entry.now())
        self.on_change(True)

    def record_first_event(self, name):
        """Record that the first event of an attempt has arrived."""
        self.load_tracker.record_first_event(name)
        self.on_change(False)

    def record_gap(self, endpoint_name, seconds, events):
        """Record the gap before events that arrived together; log when the slowdown changes."""
        now = self.entry.now()
        if self.load_tracker.record_gap(endpoint_name, seconds, events, now):
            slowdown = self.load_tracker.slowdowns.local_slowdown(endpoint_name, now)
            LOG.warning("pace_changed", endpoint=endpoint_name, pace=round(slowdown, 1))

    def end(self, name):
        """Remove an attempt."""
        self.load_tracker.end(name)
        self.on_change(False)
