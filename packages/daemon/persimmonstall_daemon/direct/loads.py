"""This entry's attempts in the shared view of loads; every change is sent to the peers."""

import attrs

from ..observe import logs

LOG = logs.get("loads")


@attrs.define
class Loads:
    """Adds and removes flights in the `book`, and calls `changed(urgent)` after each change."""

    entry: object
    changed: object

    @property
    def book(self):
        """The shared view of loads."""
        return self.entry.state.book

    def begin(self, flight):
        """Add a flight; the peers must learn of it before they place their next call."""
        self.book.begin(flight, self.entry.now())
        self.changed(True)

    def started(self, name):
        """Record that the first event of a flight has arrived."""
        self.book.started(name)
        self.changed(False)

    def paused(self, endpoint_name, seconds, events):
        """Record the pause before events that arrived together; log a change of the pace."""
        now = self.entry.now()
        if self.book.paused(endpoint_name, seconds, events, now):
            pace = self.book.paces.own(endpoint_name, now)
            LOG.warning("pace_changed", endpoint=endpoint_name, pace=round(pace, 1))

    def end(self, name):
        """Remove a flight."""
        self.book.end(name)
        self.changed(False)
