"""Retry budget of each service, shared by all entries.

In any window the attempts beyond each call's first stay under `ratio` of the calls plus
`slack`.  Every entry tells the others what it used; what is not yet known of them is covered by
taking only a part of the rest.
"""

from collections import deque

import attrs

KNOWN_SHARE = 0.5
"""Part of the budget that is used: other entries' newest retries are not known yet."""

SLICE_SECONDS = 1.0
"""Length of the slices in which calls and retries are counted."""


@attrs.define
class Usage:
    """Calls and retries of one service in one slice of time."""

    start: float
    calls: int = 0
    retries: int = 0


@attrs.define
class SharedRetryBudget:
    """Decides whether an attempt beyond the first may be sent.

    >>> budget = SharedRetryBudget(ratio=0.0, slack=4.0, window=10.0)
    >>> [budget.try_acquire("s", 0.0) for _ in range(3)]
    [True, True, False]
    """

    ratio: float
    slack: float
    window: float
    own: dict = attrs.field(factory=dict)
    others: dict = attrs.field(factory=dict)

    def slice_of(self, service, now):
        """Return the running slice of a service."""
        slices = self.own.setdefault(service, deque())
        while slices and slices[0].start < now - self.window - SLICE_SECONDS:
            slices.popleft()
        if not slices or slices[-1].start <= now - SLICE_SECONDS:
            slices.append(Usage(now))
        return slices[-1]

    def record_call(self, service, now):
        """Count a first attempt."""
        self.slice_of(service, now).calls += 1

    def used(self, service, now):
        """Return this entry's calls and retries of a service in the window."""
        self.slice_of(service, now)
        slices = self.own[service]
        return sum(u.calls for u in slices), sum(u.retries for u in slices)

    def try_acquire(self, service, now):
        """Count a further attempt and return True, or False where the budget is used up."""
        calls, retries = self.used(service, now)
        for usage in self.others.values():
            more_calls, more_retries = usage.get(service, (0, 0))
            calls += more_calls
            retries += more_retries
        if retries + 1 > KNOWN_SHARE * (self.ratio * calls + self.slack):
            return False
        self.slice_of(service, now).retries += 1
        return True

    def local_state(self, now):
        """Return what other entries are told: (calls, retries) by service."""
        return {service: self.used(service, now) for service in self.own}

    def merge_remote(self, entry, usage):
        """Take what another entry has used."""
        self.others[entry] = usage

    def forget(self, entry):
        """Drop an entry that is gone."""
        self.others.pop(entry, None)
