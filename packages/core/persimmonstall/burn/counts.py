"""Counts of all and of bad events over several exponentially decaying windows.

The counts of all objectives of one organisation and length class are kept in one array: with
thousands of organisations, an object for each count would take several times the memory.
"""

import math
from array import array

import attrs

WINDOW_MULTIPLES = (1, 12, 72)
"""Lengths of the windows as multiples of the shortest."""

VALUES_PER_OBJECTIVE = 2 * len(WINDOW_MULTIPLES)
"""Values kept for each objective: the counts of all and of bad events in each window."""


@attrs.frozen
class WindowCount:
    """Decayed numbers of all and of bad events in one window of `seconds`."""

    seconds: float
    total: float
    bad: float

    @property
    def bad_share(self):
        """Share of bad events; 0 without events."""
        return self.bad / self.total if self.total else 0.0

    def __add__(self, other):
        """Return the sum of the counts of two daemons."""
        return WindowCount(self.seconds, self.total + other.total, self.bad + other.bad)


def windows(shortest):
    """Return the lengths of the windows in seconds.

    >>> windows(300.0)
    (300.0, 3600.0, 21600.0)
    """
    return tuple(shortest * multiple for multiple in WINDOW_MULTIPLES)


class BurnCounts:
    """Counts for several objectives; each window decays with its length as the time constant.

    >>> counts = BurnCounts(300.0, objectives=2, now=0.0)
    >>> counts.add(1, True, 0.0)
    >>> counts.add(1, False, 0.0)
    >>> counts.read(0, 0.0)[0].bad_share, counts.read(1, 0.0)[0].bad_share
    (0.0, 0.5)
    """

    __slots__ = ("shortest", "updated", "values")

    def __init__(self, shortest, objectives, now):
        self.shortest = shortest
        self.updated = now
        self.values = array("d", [0.0] * (objectives * VALUES_PER_OBJECTIVE))

    def decay(self, now):
        """Decay the counts to `now`."""
        elapsed = max(0.0, now - self.updated)
        if not elapsed:
            return
        self.updated = now
        factors = [math.exp(-elapsed / seconds) for seconds in windows(self.shortest)]
        for index in range(len(self.values)):
            self.values[index] *= factors[index % VALUES_PER_OBJECTIVE // 2]

    def add(self, objective, good, now):
        """Count one event of the objective with index `objective`."""
        self.decay(now)
        first = objective * VALUES_PER_OBJECTIVE
        for index in range(first, first + VALUES_PER_OBJECTIVE, 2):
            self.values[index] += 1.0
            if not good:
                self.values[index + 1] += 1.0

    def read(self, objective, now):
        """Return the `WindowCount`s of one objective as a tuple, the shortest window first."""
        self.decay(now)
        first = objective * VALUES_PER_OBJECTIVE
        return tuple(
            WindowCount(seconds, self.values[first + 2 * n], self.values[first + 2 * n + 1])
            for n, seconds in enumerate(windows(self.shortest))
        )
