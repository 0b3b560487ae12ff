"""Token buckets; the caller passes the current time."""

import math


class Bucket:
    """Token bucket that refills at `rate` per second up to `capacity`; its level may be negative.

    A rate of 0 stands for no limit.
    """

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self.level = capacity
        self.updated = now

    def refill(self, now):
        """Update the level to the time `now` and return it."""
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        self.level = min(self.capacity, self.level + elapsed * self.rate)
        return self.level

    def resize(self, rate, capacity, now):
        """Change rate and capacity; the level is capped at the new capacity, never raised."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def wait(self, amount, now):
        """Return the seconds until `amount` is available, 0 if it is.

        For more than the capacity it is the time until the bucket is full.

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
        """Take `amount`; the level may become negative."""
        self.refill(now)
        self.level -= amount

    def give(self, amount, now):
        """Return an unused `amount`, up to the capacity."""
        self.level = min(self.capacity, self.refill(now) + amount)
