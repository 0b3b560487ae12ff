"""Decides which entries read the directory; in a large fleet the others learn from these.

Each reading entry costs the directory the same calls, so that in a large fleet a few do it for
all.  Every entry finds them by rendezvous hashing over the entries that it has heard lately.  An
entry reads by itself as soon as what it is told is old, whatever the cause: readers that are
gone, suspended, or cut off from the directory or from this entry.

What is read goes to all entries from those that read, so these are chosen among the entries with
fast links.
"""

import enum
import heapq

import attrs

from ..membership import rendezvous
from ..outside.direct import PollTimes

MIN_MEMBERS = 13
"""Number of entries from which a few read for all."""

READERS = 3
"""Number of entries that read for all."""

KEY = "directory"
"""Key by which readers are chosen."""

FAST_LINK_SHARE = 0.5
"""Share of the fastest link from which on an entry counts as one with a fast link."""

AGE_SHARE = 0.4
"""Share of the time in which a change has to apply after which an entry reads by itself."""

POLL_SHARE = 0.25
FEW_POLL_SHARE = 0.4
"""Share of that time for which an entry waits for a change in one call: where few entries read for
all others, and in a small fleet, where each reads for itself."""

ANSWER_SHARE = 0.2
"""Share of that time in which an answer comes after the wait, unless its connection has died."""

CATCH_UP_SHARE = 0.25
"""Share of that time in which a call without a wait is answered that repeats a failed one; the
next ones may take twice as long each."""

MAX_POLL_SECONDS = 2.5
MAX_ANSWER_SECONDS = 2.0
"""Longest wait for a change in one call, and longest time for an answer after it."""

RETRY_SHARE = 0.075
"""Share of that time for which an entry pauses after a second failed call; doubles with each."""

MAX_RETRY_SHARE = 0.3
OUTDATED_RETRY_SHARE = 0.6
"""Longest pause, as a share of that time: of an entry that is to read, and of one that only reads
since what it is told is old."""

MAX_DOUBLINGS = 8
"""Number of failed calls after which times are not doubled any more."""

BEHIND_SHARE = 0.3
"""Share of that time for which an entry may know of news without getting them from a peer."""

REVIEW_SHARE = 0.07
"""Share of that time after which an entry that does not read decides anew."""

GATHER_SHARE = 0.08
"""Share of that time for which a reader pauses after changes, so that those that come together are
read in one call."""

FETCH_SHARE = 0.15
"""Share of that time after which an entry leaves a peer that has not sent its news."""

SPREAD_SHARE = 0.04
"""Share of that time over which the entries of a large fleet spread their requests for news."""


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


def chosen_readers(links):
    """Return the entries that read the directory for all, of `links` by address.

    >>> sorted(chosen_readers({"a": 14.0, "b": 200.0, "c": 14.0, "d": 150.0, "e": 200.0}))
    ['b', 'd', 'e']
    """
    if len(links) <= READERS:
        return list(links)
    fastest = heapq.nlargest(READERS, links.values())
    needed = min(fastest[-1], FAST_LINK_SHARE * fastest[0])
    fast = [address for address, link in links.items() if link >= needed]
    return heapq.nlargest(READERS, fast, key=lambda address: rendezvous.score(KEY, address))


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

    def poll_times(self, shared, failures):
        """Return the `PollTimes` of the next call, after `failures` failed ones.

        After a failure nothing is awaited: what came meanwhile is due already.

        >>> ReaderRule("10.0.0.1:80", 2.0).poll_times(False, 0)
        PollTimes(wait=0.8, answer=0.4)
        >>> ReaderRule("10.0.0.1:80", 2.0).poll_times(False, 2)
        PollTimes(wait=0.0, answer=1.0)
        """
        if failures:
            answer = CATCH_UP_SHARE * self.apply_seconds * 2 ** min(failures - 1, MAX_DOUBLINGS)
            return PollTimes(0.0, min(MAX_ANSWER_SECONDS, answer))
        wait = (POLL_SHARE if shared else FEW_POLL_SHARE) * self.apply_seconds
        answer = ANSWER_SHARE * self.apply_seconds
        return PollTimes(min(MAX_POLL_SECONDS, wait), min(MAX_ANSWER_SECONDS, answer))

    def retry_seconds(self, chosen, failures):
        """Return the pause in seconds after `failures` failed calls, none after the first.

        An entry that was not `chosen` to read hears from the readers once they get answers.

        >>> rule = ReaderRule("10.0.0.1:80", 2.0)
        >>> [round(rule.retry_seconds(True, failures), 2) for failures in (1, 2, 3, 9)]
        [0.0, 0.15, 0.3, 0.6]
        """
        if failures <= 1:
            return 0.0
        longest = MAX_RETRY_SHARE if chosen else OUTDATED_RETRY_SHARE
        share = RETRY_SHARE * 2 ** min(failures - 2, MAX_DOUBLINGS)
        return min(share, longest) * self.apply_seconds

    @property
    def review_seconds(self):
        """Interval in seconds at which an entry that does not read decides anew."""
        return REVIEW_SHARE * self.apply_seconds

    @property
    def gather_seconds(self):
        """Pause in seconds of a reader after changes."""
        return GATHER_SHARE * self.apply_seconds

    @property
    def fetch_seconds(self):
        """Timeout in seconds of a request for a peer's news."""
        return FETCH_SHARE * self.apply_seconds

    @property
    def spread_seconds(self):
        """Time in seconds over which the entries of a large fleet spread their requests."""
        return SPREAD_SHARE * self.apply_seconds

    def decide(self, links, age, behind):
        """Return the `ReadReason` of an entry.

        `links` are the bandwidths, by address, of the entries heard lately and of this one, `age`
        is the time in seconds since the directory answered this entry or a peer, and `behind` for
        how long a peer has had news that this entry lacks.

        >>> rule = ReaderRule("10.0.0.1:80", 4.0)
        >>> rule.decide({"10.0.0.1:80": 1.0}, 0.0, 0.0)
        <ReadReason.FEW_ENTRIES: 'few_entries'>
        >>> rule.decide({f"10.0.0.{n}:80": 1.0 for n in range(99)}, 1.7, 0.0)
        <ReadReason.OUTDATED: 'outdated'>
        """
        if len(links) < MIN_MEMBERS:
            return ReadReason.FEW_ENTRIES
        if age > self.max_age:
            return ReadReason.OUTDATED
        if behind > BEHIND_SHARE * self.apply_seconds:
            return ReadReason.BEHIND
        if self.address in chosen_readers(links):
            return ReadReason.CHOSEN
        return ReadReason.TOLD
