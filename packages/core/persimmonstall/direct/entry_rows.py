"""The rows by which entries find each other in the directory, and which of them have ended.

Each entry renews its row now and then.  What counts against a row are reads between which it was
not renewed: while the directory cannot be reached nobody renews, but nothing is read either.
"""

import attrs

RENEWAL_SECONDS = 300.0
"""Time after which an entry renews its row and reads those of the others."""

MAX_UNCHANGED_READS = 4
"""Number of reads after the first between which a row of a living entry is renewed."""


@attrs.frozen
class EntryRow:
    """The row of the entry at `address`; each write of it raises its `revision`."""

    address: str
    revision: int


@attrs.define
class EntryRows:
    """Counts for each `EntryRow` the reads since the first that found it as it is."""

    unchanged: dict = attrs.field(factory=dict)

    def observe(self, rows):
        """Record the rows that a read found, which may be fewer than before."""
        self.unchanged = {row: self.unchanged.get(row, -1) + 1 for row in rows}

    def forget(self):
        """Begin anew, since the directory came back from an old copy and revisions went back."""
        self.unchanged = {}

    def ended(self):
        """Return the rows that were not renewed for long.

        >>> rows, living, gone = EntryRows(), "a:1", EntryRow("b:1", 7)
        >>> for revision in range(MAX_UNCHANGED_READS + 1):
        ...     rows.observe((EntryRow(living, revision), gone))
        >>> rows.ended()
        [EntryRow(address='b:1', revision=7)]
        """
        return [row for row, reads in self.unchanged.items() if reads >= MAX_UNCHANGED_READS]
