"""One organisation's budget at one entry: the entry's own share and what the owner has lent."""

import math

import attrs

from .bucket import Bucket
from .demand import DecayedRate

DEMAND_HORIZON_SECONDS = 5.0
"""Time over which demand is averaged, in seconds."""

DURATION_WEIGHT = 0.1
"""Weight of the newest request in the moving average of durations."""


@attrs.define
class Account:
    """Budget state of one organisation at this entry.

    `requests` and `tokens` are the buckets of the entry's own share, to which the lent amounts
    add.  `unanswered_since` is the time at which the oldest unanswered `BudgetRequest` was
    sent, or None.  The queued amounts are those of requests that arrived since the last one.
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
    unanswered_since: float | None = None
    requested_at: float = -math.inf
    retry_after: float = 0.0
    used_at: float = 0.0
    owner: str = ""

    def lease_was_partial(self):
        """Return whether the owner's last lease was for less than was requested."""
        return self.retry_after > 0 or self.lent_slots < self.wanted_slots

    def unreachable(self, now, wait):
        """Return whether the owner has left a `BudgetRequest` unanswered for `wait` seconds."""
        return self.unanswered_since is not None and now - self.unanswered_since >= wait


def open_account(organisation, share, settings, now):
    """Return a new account for `share` of the organisation's limits."""
    request_rate, request_capacity, token_rate = bucket_sizes(organisation, share, settings)
    return Account(
        requests=Bucket(request_rate, request_capacity, now),
        tokens=Bucket(token_rate, token_rate * settings.limits.burst, now),
        request_demand=DecayedRate(DEMAND_HORIZON_SECONDS, now),
        token_demand=DecayedRate(DEMAND_HORIZON_SECONDS, now),
        used_at=now,
    )


def bucket_sizes(organisation, share, settings):
    """Return the request rate, request capacity and token rate for a share of the limits."""
    request_rate = organisation.requests_per_second * share
    token_rate = organisation.tokens_per_second * share
    return request_rate, max(1.0, request_rate * settings.limits.burst), token_rate


def own_share(account, entries, settings, now):
    """Return the share of the limits that this entry may use without a lease.

    It is an even share of the whole limit while the owner is unreachable.
    """
    if account is not None and account.unreachable(now, settings.limits.wait):
        return 1.0 / max(1, entries)
    return settings.limits.own_share / max(1, entries)


def slots_allowed(account, limit, entries, settings, now):
    """Return the number of concurrent requests that this entry may run now."""
    if now < account.slots_until:
        return account.own_slots + account.lent_slots
    if account.unreachable(now, settings.limits.wait):
        return max(1, limit // max(1, entries))
    return account.own_slots
