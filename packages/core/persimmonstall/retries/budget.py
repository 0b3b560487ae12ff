"""Retry budget, a token bucket that limits retries to a fraction of the requests.

Every first attempt adds `share` of a retry to the bucket, and every retry or hedge takes one.
An empty bucket delays retries, so that they are paced instead of multiplying the load when many
endpoints fail at once.
"""

import math

import attrs

MIN_CAPACITY = 10.0
"""Minimum capacity of the bucket, in retries, at any request rate."""

ACCUMULATION_SECONDS = 60.0
"""Time over which unused retries accumulate."""

REQUEST_RATE_SECONDS = 10.0
"""Time constant of the moving average of the request rate."""

MIN_RATE = 0.5
"""Retries per second that are always allowed, so that an entry with few requests can retry."""


@attrs.define
class RetryBudget:
    """Token bucket of retries; `share` is the number of retries allowed per request.

    >>> budget = RetryBudget(share=0.1)
    >>> [budget.take(0.0) for _ in range(11)][-2:]
    [0.0, 2.0]
    """

    share: float
    balance: float = MIN_CAPACITY
    request_rate: float = 0.0
    updated: float = 0.0
    taken: int = 0
    delayed: int = 0

    def record_request(self, now):
        """Count a first attempt, which adds to the bucket."""
        self.advance(now)
        self.request_rate += 1.0 / REQUEST_RATE_SECONDS
        self.balance = min(self.capacity(), self.balance + self.share)

    def advance(self, now):
        """Update the request rate and the minimum refill to the time `now`."""
        elapsed = max(0.0, now - self.updated)
        self.updated = now
        self.request_rate *= math.exp(-elapsed / REQUEST_RATE_SECONDS)
        if self.balance < MIN_CAPACITY:
            self.balance = min(MIN_CAPACITY, self.balance + MIN_RATE * elapsed)

    def capacity(self):
        """Return the capacity of the bucket, in retries."""
        return max(MIN_CAPACITY, self.share * self.request_rate * ACCUMULATION_SECONDS)

    def refill_rate(self):
        """Return the retries per second that are added to the bucket."""
        return MIN_RATE + self.share * self.request_rate

    def take(self, now):
        """Take one retry; return the seconds to wait before it, 0 if the bucket held one."""
        self.advance(now)
        self.taken += 1
        self.balance -= 1.0
        if self.balance >= 0.0:
            return 0.0
        self.delayed += 1
        return -self.balance / self.refill_rate()

    def has_spare(self, now):
        """Return whether half the capacity is left after one retry, as required to retry early.

        A late attempt is retried early: before it has failed (see `retries.late`).
        """
        self.advance(now)
        return self.balance - 1.0 >= 0.5 * self.capacity()

    def refund(self):
        """Undo a `take` whose retry was not sent."""
        self.taken -= 1
        self.balance += 1.0
