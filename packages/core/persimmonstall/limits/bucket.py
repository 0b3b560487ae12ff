"""Token buckets over a clock that is handed in."""

import math


class Bucket:
    """Refills at `rate` a second up to `capacity`; its level may go below zero (debt).

    A rate of 0 means that nothing is limited.
    """

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self.level = capacity
        self.updated = now

    def refill(self, now):
        """Bring the level up to `now` and return it."""
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        self.level = min(self.capacity, self.level + elapsed * self.rate)
        return self.level

    def resize(self, rate, capacity, now):
        """Change rate and capacity; the level is cut to the new capacity, never raised."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def wait(self, amount, now):
        """Return the seconds until `amount` is there, 0 if it is; more than fits: until full.

        >>> bucket = Bucket(rate=2.0, capacity=4.0, now=0.0)
        >>> bucket.take(4.0, 0.0)
        >>> bucket.wait(1.0, 0.0)
        0.5
        """
        missing = min(amount, self.capacity) - self.refill(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate else math.inf

    def take(self, amount, now):
        """Take `amount`, into debt if need be."""
        self.refill(now)
        self.level -= amount

    def give(self, amount, now):
        """Put back what was taken and not used."""
        self.level = min(self.capacity, self.refill(now) + amount)
