"""Retry budget of each service, shared by all entries.

In any window, the number of retries stays below `ratio` times the number of calls plus `slack`.
Entries send their usage to each other; retries that have not been reported yet are covered by
using only a part of the budget.
"""

from collections import deque

import attrs

USABLE_SHARE = 0.5
"""Share of the budget that may be used; the rest covers retries that are not reported yet."""

SLICE_SECONDS = 1.0
"""Length of the time slices in which calls and retries are counted."""


@attrs.define
class Usage:
    """Calls and retries of one service in one time slice."""

    start: float
    calls: int = 0
    retries: int = 0


@attrs.define
class SharedRetryBudget:
    """Decides whether a call may be retried.

    >>> budget = SharedRetryBudget(ratio=0.0, slack=4.0, window=10.0)
    >>> [budget.try_acquire("s", 0.0) for _ in range(3)]
    [True, True, False]
    """

    ratio: float
    slack: float
    window: float
    local: dict = attrs.field(factory=dict)
    remote: dict = attrs.field(factory=dict)

    def current_slice(self, service, now):
        """Return the current time slice of a service."""
        slices = self.local.setdefault(service, deque())
        while slices and slices[0].start < now - self.window - SLICE_SECONDS:
            slices.popleft()
        if not slices or slices[-1].start <= now - SLICE_SECONDS:
            slices.append(Usage(now))
        return slices[-1]

    def record_call(self, service, now):
        """Count the first attempt of a call."""
        self.current_slice(service, now).calls += 1

    def usage(self, service, now):
        """Return the calls and retries of a service by this entry in the window."""
        self.current_slice(service, now)
        slices = self.local[service]
        return sum(u.calls for u in slices), sum(u.retries for u in slices)

    def has_room(self, service, now):
        """Return whether the budget allows another retry."""
        calls, retries = self.usage(service, now)
        for usage in self.remote.values():
            remote_calls, remote_retries = usage.get(service, (0, 0))
            calls += remote_calls
            retries += remote_retries
        return retries + 1 <= USABLE_SHARE * (self.ratio * calls + self.slack)

    def try_acquire(self, service, now):
        """Count a retry and return True, or return False if the budget is used up."""
        if not self.has_room(service, now):
            return False
        self.current_slice(service, now).retries += 1
        return True

    def local_state(self, now):
        """Return the (calls, retries) of this entry by service, to be sent to other entries."""
        return {service: self.usage(service, now) for service in self.local}

    def merge_remote(self, entry, usage):
        """Store the usage reported by another entry."""
        self.remote[entry] = usage

    def forget(self, entry):
        """Drop the usage of an entry that is gone."""
        self.remote.pop(entry, None)
