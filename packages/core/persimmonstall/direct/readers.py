"""Decides which entries read the directory; in a large fleet the others learn from these.

Each reading entry costs the directory the same calls, so that in a large fleet a few do it for
all.  Every entry finds them by rendezvous hashing over the entries that it has heard lately.  An
entry reads by itself as soon as what it is told is old, whatever the cause: readers that are
gone, suspended, or cut off from the directory or from this entry.
"""

import enum
import heapq

import attrs

from ..membership import rendezvous

MIN_MEMBERS = 13
"""Number of entries from which a few read for all."""

READERS = 3
"""Number of entries that read for all."""

KEY = "directory"
"""Key by which readers are chosen."""

AGE_SHARE = 0.4
"""Share of the time in which a change has to apply after which an entry reads by itself."""

POLL_SHARE = 0.25
"""Share of that time for which a reader waits for a change in one call."""

BEHIND_SHARE = 0.3
"""Share of that time for which an entry may know of news without getting them from a peer."""


class ReadReason(enum.StrEnum):
    """Why an entry reads the directory, or does not."""

    STARTING = "starting"
    FEW_ENTRIES = "few_entries"
    CHOSEN = "chosen"
    OUTDATED = "outdated"
    BEHIND = "behind"
    TOLD = "told"

    @property
    def reads(self):
        """Whether the entry reads the directory."""
        return self is not ReadReason.TOLD

    @property
    def relies_on_peers(self):
        """Whether others read for the entry, though it may read as well for a while."""
        return self in (ReadReason.TOLD, ReadReason.OUTDATED, ReadReason.BEHIND)

    @property
    def shared(self):
        """Whether few entries read for all."""
        return self not in (ReadReason.STARTING, ReadReason.FEW_ENTRIES)


def chosen_readers(members):
    """Return the members that read the directory for all.

    >>> sorted(chosen_readers(["a", "b"])), len(chosen_readers([str(n) for n in range(50)]))
    (['a', 'b'], 3)
    """
    return heapq.nlargest(READERS, members, key=lambda member: rendezvous.score(KEY, member))


@attrs.define
class ReaderRule:
    """Says whether the entry at `address` reads the directory.

    `apply_seconds` is the time in which a change of the directory has to apply at every entry.
    """

    address: str
    apply_seconds: float

    @property
    def max_age(self):
        """Age in seconds of what an entry is told from which it reads by itself."""
        return AGE_SHARE * self.apply_seconds

    @property
    def poll_seconds(self):
        """Time in seconds for which a reader waits for a change in one call."""
        return POLL_SHARE * self.apply_seconds

    def decide(self, members, age, behind):
        """Return the `ReadReason` of an entry.

        `members` are the addresses of the entries heard lately and of this one, `age` is the time
        in seconds since the directory answered this entry or a peer, and `behind` for how long a
        peer has had news that this entry lacks.

        >>> rule = ReaderRule("10.0.0.1:80", 4.0)
        >>> rule.decide(["10.0.0.1:80"], 0.0, 0.0)
        <ReadReason.FEW_ENTRIES: 'few_entries'>
        >>> rule.decide([f"10.0.0.{n}:80" for n in range(99)], 1.7, 0.0)
        <ReadReason.OUTDATED: 'outdated'>
        """
        if len(members) < MIN_MEMBERS:
            return ReadReason.FEW_ENTRIES
        if age > self.max_age:
            return ReadReason.OUTDATED
        if behind > BEHIND_SHARE * self.apply_seconds:
            return ReadReason.BEHIND
        if self.address in chosen_readers(members):
            return ReadReason.CHOSEN
        return ReadReason.TOLD
