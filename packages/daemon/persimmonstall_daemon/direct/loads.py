"""This entry's flights in the shared view of loads; every change is told to the others."""

import attrs

from ..observe import logs

LOG = logs.get("loads")


@attrs.define
class Loads:
    """Begins and ends flights in the `load_tracker` and lets `changed(urgent)` know."""

    entry: object
    changed: object

    @property
    def load_tracker(self):
        """The shared view."""
        return self.entry.state.load_tracker

    def begin(self, attempt):
        """Add a flight; others must know of it before they place the next call."""
        self.load_tracker.begin(attempt, self.entry.now())
        self.changed(True)

    def record_first_event(self, name):
        """Note that a flight's first event was seen."""
        self.load_tracker.record_first_event(name)
        self.changed(False)

    def record_gap(self, endpoint_name, seconds, events):
        """Note the pause before events of a stream that came together."""
        now = self.entry.now()
        if self.load_tracker.record_gap(endpoint_name, seconds, events, now):
            pace = self.load_tracker.slowdowns.local_slowdown(endpoint_name, now)
            LOG.warning("pace_changed", endpoint=endpoint_name, pace=round(pace, 1))

    def end(self, name):
        """Remove a flight."""
        self.load_tracker.end(name)
        self.changed(False)
