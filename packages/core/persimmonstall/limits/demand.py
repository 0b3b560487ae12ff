"""Exponentially decaying rates, which measure recent demand in constant space."""

import math


class DecayedRate:
    """Events per second, averaged over about `horizon` seconds.

    >>> rate = DecayedRate(horizon=10.0, now=0.0)
    >>> for second in range(100):
    ...     rate.add(5.0, float(second))
    >>> 4.5 < rate.value(100.0) < 5.5
    True
    """

    def __init__(self, horizon, now):
        self.horizon = horizon
        self.updated = now
        self.total = 0.0

    def value(self, now):
        """Return the rate per second at `now`."""
        elapsed = max(0.0, now - self.updated)
        self.total *= math.exp(-elapsed / self.horizon)
        self.updated = max(self.updated, now)
        return self.total / self.horizon

    def add(self, amount, now):
        """Add `amount` events at `now`."""
        self.value(now)
        self.total += amount
