"""Good and bad events over several decaying windows, in constant space."""

import math
from array import array

import attrs

WINDOW_MULTIPLES = (1, 12, 72)
"""Lengths of the windows as multiples of the shortest one."""


@attrs.frozen
class WindowCount:
    """Events in one window; `seconds` is its length."""

    seconds: float
    total: float
    bad: float

    @property
    def bad_share(self):
        """Share of bad events, 0 without events."""
        return self.bad / self.total if self.total else 0.0

    def __add__(self, other):
        """Return the counts of two daemons together."""
        return WindowCount(self.seconds, self.total + other.total, self.bad + other.bad)


def windows(shortest):
    """Return the lengths of the windows in seconds.

    >>> windows(300.0)
    (300.0, 3600.0, 21600.0)
    """
    return tuple(shortest * multiple for multiple in WINDOW_MULTIPLES)


class BurnCounts:
    """Counts of one objective; each window forgets exponentially over its length.

    >>> counts = BurnCounts(300.0, now=0.0)
    >>> counts.add(True, 0.0)
    >>> counts.add(False, 0.0)
    >>> counts.read(0.0)[0].bad_share
    0.5
    """

    __slots__ = ("shortest", "updated", "values")

    def __init__(self, shortest, now):
        self.shortest = shortest
        self.updated = now
        self.values = array("d", [0.0] * (2 * len(WINDOW_MULTIPLES)))

    def decay(self, now):
        """Bring the counts up to `now`."""
        elapsed = max(0.0, now - self.updated)
        if not elapsed:
            return
        self.updated = now
        for index, seconds in enumerate(windows(self.shortest)):
            kept = math.exp(-elapsed / seconds)
            self.values[2 * index] *= kept
            self.values[2 * index + 1] *= kept

    def add(self, good, now):
        """Count one event."""
        self.decay(now)
        for index in range(len(WINDOW_MULTIPLES)):
            self.values[2 * index] += 1.0
            if not good:
                self.values[2 * index + 1] += 1.0

    def read(self, now):
        """Return a tuple of `WindowCount`, the shortest first."""
        self.decay(now)
        return tuple(
            WindowCount(seconds, self.values[2 * index], self.values[2 * index + 1])
            for index, seconds in enumerate(windows(self.shortest))
        )
