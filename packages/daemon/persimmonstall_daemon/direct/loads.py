"""This entry's flights in the shared view of loads; every change is told to the others."""

import attrs


@attrs.define
class Loads:
    """Begins and ends flights in the `book` and lets `changed(urgent)` know."""

    entry: object
    changed: object

    @property
    def book(self):
        """The shared view."""
        return self.entry.state.book

    def begin(self, flight):
        """Add a flight; others must know of it before they place the next call."""
        self.book.begin(flight, self.entry.now())
        self.changed(True)

    def started(self, name):
        """Note that a flight's first event was seen."""
        self.book.started(name)
        self.changed(False)

    def paused(self, endpoint_name, seconds, events):
        """Note the pause before events of a stream that came together."""
        self.book.paused(endpoint_name, seconds, events, self.entry.now())

    def end(self, name):
        """Remove a flight."""
        self.book.end(name)
        self.changed(False)
