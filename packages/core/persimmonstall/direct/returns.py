"""Calls that were refused for want of room, so that they keep their place when they come back."""

import heapq

import attrs

from .change_log import ChangeLog

MAX_RETURNS = 512
"""Maximum number of refused calls that are remembered."""

MAX_REPORTED = 32
"""Maximum number of refused calls in one datagram, the latest ones."""

REMEMBERED_SECONDS = 10.0
"""Time after a call's turn for which it is remembered."""

EARLY_SECONDS = 0.05
"""Time before its turn from which a return counts as early: clocks and timers are inexact."""


@attrs.frozen
class Refused:
    """A refused call: when it was first asked, and when it was told to come back."""

    asked: float
    due: float


@attrs.define
class Returns:
    """Refused calls by organisation and fingerprint of the content, of all entries."""

    refused: dict = attrs.field(factory=dict)
    changes: ChangeLog = attrs.field(factory=ChangeLog)

    def record(self, key, asked, due):
        """Record that a call was refused here; one that is refused again keeps its place."""
        self.put(key, Refused(asked, due))
        self.changes.record(key)

    def put(self, key, refused):
        """Remember a refused call, and the first time of several."""
        if len(self.refused) >= 2 * MAX_RETURNS:
            return
        known = self.refused.get(key)
        if known is not None:
            refused = Refused(min(known.asked, refused.asked), max(known.due, refused.due))
        self.refused[key] = refused

    def expire(self, now):
        """Forget calls that have not come back; of too many, those that were due first."""
        for key in [k for k, r in self.refused.items() if now - r.due > REMEMBERED_SECONDS]:
            del self.refused[key]
        excess = len(self.refused) - MAX_RETURNS
        for key in heapq.nsmallest(excess, self.refused, key=lambda k: self.refused[k].due):
            del self.refused[key]

    def came_early(self, key, now):
        """Return whether a call comes back before it was told to."""
        known = self.refused.get(key)
        return known is not None and now < known.due - EARLY_SECONDS

    def asked(self, key, arrived):
        """Return when a call was first asked; `arrived` if it was not refused, or comes early."""
        known = self.refused.get(key)
        if known is None or self.came_early(key, arrived):
            return arrived
        return min(arrived, known.asked)

    def admitted(self, key):
        """Forget a call that is served."""
        self.refused.pop(key, None)

    def recent(self, now):
        """Return (key, seconds since it was asked, seconds until it is due) of the latest ones.

        They are those of which other entries have not been told twice.
        """
        found = {key: self.refused[key] for key in self.changes.pending() if key in self.refused}
        latest = heapq.nlargest(MAX_REPORTED, found.items(), key=lambda item: item[1].due)
        return [(key, round(now - r.asked, 3), round(r.due - now, 3)) for key, r in latest]

    def merge(self, reported, now):
        """Merge refused calls that another entry reported."""
        for key, age, left in reported:
            self.put(key, Refused(now - age, now + left))
