"""One organisation's budget at one entry: its own share and what the keeper has lent."""

import math

import attrs

from .bucket import Bucket
from .demand import DecayedRate

DEMAND_HORIZON = 5.0
"""Seconds over which demand is averaged."""

DURATION_WEIGHT = 0.1
"""Weight of the newest request in the mean duration."""


@attrs.define
class Account:
    """State of one organisation at this entry.

    `requests` and `tokens` are buckets of the entry's own share; the lent amounts come on top.
    `unanswered` is when the oldest ask without an answer was sent, None if there is none.  The
    queued amounts are of requests that came since the last ask.
    """

    requests: Bucket
    tokens: Bucket
    request_demand: DecayedRate
    token_demand: DecayedRate
    lent_requests: float = 0.0
    lent_tokens: float = 0.0
    lent_slots: int = 0
    slots_until: float = 0.0
    own_slots: int = 0
    wanted_slots: int = 0
    queued_requests: int = 0
    queued_tokens: float = 0.0
    active: int = 0
    duration: float = 1.0
    sequence: int = 0
    unanswered: float | None = None
    asked: float = -math.inf
    retry_after: float = 0.0
    used: float = 0.0
    keeper: str = ""

    def told_short(self):
        """Return whether the keeper's last answer was less than what was asked."""
        return self.retry_after > 0 or self.lent_slots < self.wanted_slots

    def unreachable(self, now, wait):
        """Return whether the keeper has left an ask unanswered for `wait` seconds."""
        return self.unanswered is not None and now - self.unanswered >= wait


def open_account(organisation, share, settings, now):
    """Return a new account with `share` of the organisation's limits."""
    request_rate, request_capacity, token_rate = sizes(organisation, share, settings)
    return Account(
        requests=Bucket(request_rate, request_capacity, now),
        tokens=Bucket(token_rate, token_rate * settings.limits.burst, now),
        request_demand=DecayedRate(DEMAND_HORIZON, now),
        token_demand=DecayedRate(DEMAND_HORIZON, now),
        used=now,
    )


def sizes(organisation, share, settings):
    """Return request rate, request capacity and token rate of a share of the limits."""
    request_rate = organisation.requests_per_second * share
    token_rate = organisation.tokens_per_second * share
    return request_rate, max(1.0, request_rate * settings.limits.burst), token_rate


def own_share(account, entries, settings, now):
    """Return the share of the limits that this entry uses without the keeper.

    With the keeper out of reach it is an even share of the whole limit.
    """
    if account is not None and account.unreachable(now, settings.limits.wait):
        return 1.0 / max(1, entries)
    return settings.limits.own_share / max(1, entries)


def slots_allowed(account, limit, entries, settings, now):
    """Return how many concurrent requests this entry may run now."""
    if now < account.slots_until:
        return account.own_slots + account.lent_slots
    if account.unreachable(now, settings.limits.wait):
        return max(1, limit // max(1, entries))
    return account.own_slots
