"""Retry budget: retries may add only a share to the load, and are paced when many come at once.

Every first attempt adds `share` of a retry to the account; a retry or hedge takes one.  An
empty account delays retries instead of letting a failure of many endpoints multiply the load.
"""

import math

import attrs

MIN_BANK = 10.0
"""Retries that may be saved up however few requests come."""

BANK_SECONDS = 60.0
"""Time over which unused retries are saved up."""

RATE_SECONDS = 10.0
"""Time constant of the observed request rate, in seconds."""

MIN_RATE = 0.5
"""Retries per second that are always allowed, so that a quiet entry still retries."""


@attrs.define
class RetryBudget:
    """Account of retries; `share` is retries allowed per request.

    >>> budget = RetryBudget(share=0.1)
    >>> [budget.take(0.0) for _ in range(11)][-2:]
    [0.0, 2.0]
    """

    share: float
    saved: float = MIN_BANK
    request_rate: float = 0.0
    updated: float = 0.0
    taken: int = 0
    delayed: int = 0

    def record_request(self, now):
        """Count a first attempt."""
        self.advance(now)
        self.request_rate += 1.0 / RATE_SECONDS
        self.saved = min(self.bank(), self.saved + self.share)

    def advance(self, now):
        """Let time pass up to `now`."""
        elapsed = max(0.0, now - self.updated)
        self.updated = now
        self.request_rate *= math.exp(-elapsed / RATE_SECONDS)
        if self.saved < MIN_BANK:
            self.saved = min(MIN_BANK, self.saved + MIN_RATE * elapsed)

    def bank(self):
        """Return the most retries that may be saved up."""
        return max(MIN_BANK, self.share * self.request_rate * BANK_SECONDS)

    def refill_rate(self):
        """Return the retries per second that the account gains."""
        return MIN_RATE + self.share * self.request_rate

    def take(self, now):
        """Take one retry; return the seconds to wait before it, 0 when the account has one."""
        self.advance(now)
        self.taken += 1
        self.saved -= 1.0
        if self.saved >= 0.0:
            return 0.0
        self.delayed += 1
        return -self.saved / self.refill_rate()

    def has_spare(self, now):
        """Return whether more than half of the bank is left, as moving on needs."""
        self.advance(now)
        return self.saved - 1.0 >= 0.5 * self.bank()

    def give_back(self):
        """Undo a `take` whose retry was not made."""
        self.taken -= 1
        self.saved += 1.0
