"""The owner's side of an organisation's budget: lends amounts and slots to the entries.

Each organisation's budget is owned by one entry.  The owner has the only bucket for what exceeds
the entries' own shares, so that everything it lends is within the limit.  State is kept only for
organisations with recent budget requests.
"""

import math

import attrs

from ..messages.control import BudgetLease
from .bucket import Bucket

MAX_RETRY_SECONDS = 60.0
"""Upper bound of Retry-After, in seconds."""

MIN_RETRY_SECONDS = 0.05
"""Lower bound of Retry-After, in seconds."""

WARM_UP_SECONDS = 2.0
"""Time after a change of the live entries in which they report to the owner the slots in use.

Until then the owner lends an entry at most the slots that this entry has in use or an even share
of those to lend, whichever is more."""


def bounded_retry(seconds):
    """Return `seconds` within the bounds of Retry-After.

    >>> bounded_retry(0.0), bounded_retry(1e9)
    (0.05, 60.0)
    """
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))


@attrs.define
class SlotLease:
    """Number of concurrent requests lent to one entry until the time `until`."""

    count: int
    until: float


@attrs.define
class SharedBudget:
    """Budget of one organisation at its owner.

    `slots` maps instances to their `SlotLease`, `wanted` to the (amount, time) of their last
    request.  `promised` estimates the number of refused callers that will still retry, as of
    `promised_at`.
    """

    requests: Bucket
    tokens: Bucket
    slots: dict = attrs.field(factory=dict)
    wanted: dict = attrs.field(factory=dict)
    promised: float = 0.0
    promised_at: float = 0.0
    used_at: float = 0.0


def lent_rate(limit, settings):
    """Return the part of a limit that the owner lends, per second."""
    return limit * (1.0 - settings.limits.own_share)


def own_slots(limit, entries, settings):
    """Return the number of slots that each entry has without a lease."""
    return math.floor(limit * settings.limits.own_share / max(1, entries))


class BudgetOwner:
    """Lends the budgets of the organisations that rendezvous hashing assigns to this entry."""

    def __init__(self, settings, invariants):
        self.settings = settings
        self.invariants = invariants
        self.budgets = {}

    def budget_of(self, organisation, now):
        """Return the budget of an `Organisation`, sized by its current limits."""
        request_rate = lent_rate(organisation.requests_per_second, self.settings)
        token_rate = lent_rate(organisation.tokens_per_second, self.settings)
        burst = self.settings.limits.burst
        request_capacity = max(1.0, request_rate * burst)
        budget = self.budgets.get(organisation.name)
        if budget is None:
            requests = Bucket(request_rate, request_capacity, now)
            budget = SharedBudget(requests, Bucket(token_rate, token_rate * burst, now))
            self.budgets[organisation.name] = budget
        budget.requests.resize(request_rate, request_capacity, now)
        budget.tokens.resize(token_rate, token_rate * burst, now)
        budget.used_at = now
        return budget

    def lend(
        self, budget_request, instance, organisation, entries, now, entries_changed_at=-math.inf
    ):
        """Return the `BudgetLease` for a `BudgetRequest` of `instance`.

        `entries` is the number of live entries, `entries_changed_at` the time at which one last
        joined or left.
        """
        budget = self.budget_of(organisation, now)
        budget.requests.give(budget_request.returned_requests, now)
        budget.tokens.give(budget_request.returned_tokens, now)
        share = self.demand_share(budget, budget_request, instance, now)
        requests = lend_amount(budget.requests, budget_request.requests, 1.0, share, now)
        tokens = lend_amount(budget.tokens, budget_request.tokens, budget_request.need, share, now)
        warm = now - entries_changed_at >= WARM_UP_SECONDS
        slots = self.lend_slots(budget, budget_request, instance, organisation, entries, now, warm)
        retry = self.retry_after(budget, budget_request, requests, tokens, now)
        seconds = self.settings.limits.slot_lease
        return BudgetLease(
            budget_request.organisation,
            budget_request.sequence,
            requests,
            tokens,
            slots,
            seconds,
            retry,
        )

    def demand_share(self, budget, budget_request, instance, now):
        """Return the share of `instance` in all amounts asked for within the burst time."""
        since = now - self.settings.limits.burst
        budget.wanted = {name: want for name, want in budget.wanted.items() if want[1] >= since}
        amount = budget_request.requests + budget_request.tokens
        budget.wanted[instance] = (amount, now)
        total = sum(want for want, _ in budget.wanted.values())
        return amount / total if total else 1.0

    def lend_slots(self, budget, budget_request, instance, organisation, entries, now, warm):
        """Return the number of slots lent to `instance`, in place of those lent before.

        `warm` is false for `WARM_UP_SECONDS` after a change of the live entries.
        """
        limit = organisation.concurrency
        if not limit:
            return 0
        budget.slots.pop(instance, None)
        budget.slots = {name: held for name, held in budget.slots.items() if held.until > now}
        lendable = limit - entries * own_slots(limit, entries, self.settings)
        lent = sum(held.count for held in budget.slots.values())
        wanted = budget_request.slots
        if not warm:
            wanted = min(wanted, max(budget_request.held, math.ceil(lendable / entries)))
        count = max(0, min(wanted, lendable - lent))
        if count:
            until = now + self.settings.limits.slot_lease
            budget.slots[instance] = SlotLease(count, until)
        held = sum(slots.count for slots in budget.slots.values())
        self.invariants.check(
            "slots_within_limit", held <= max(lent, lendable), budget_request.organisation
        )
        return count

    def retry_after(self, budget, budget_request, requests, tokens, now):
        """Return the seconds after which to retry, 0 if all was lent.

        The wait includes the requests promised to callers that were refused before, so that
        callers do not all retry at the same time.
        """
        missing = budget_request.requests - requests if budget.requests.rate else 0.0
        if missing < 1 and not (budget.tokens.rate and tokens < budget_request.need):
            return 0.0
        elapsed = now - budget.promised_at
        budget.promised = max(0.0, budget.promised - elapsed * budget.requests.rate)
        budget.promised_at = now
        wait = budget.tokens.wait(budget_request.need, now)
        if budget.requests.rate:
            wait = max(
                wait, budget.requests.wait(1.0, now) + budget.promised / budget.requests.rate
            )
            budget.promised += min(1.0, max(0.0, missing))
        return bounded_retry(wait)

    def forget(self, instance):
        """Take back the slots lent to an instance that is gone."""
        for budget in self.budgets.values():
            budget.slots.pop(instance, None)

    def evict(self, now):
        """Evict idle budgets whose state is the same as that of a new one."""
        for name, budget in list(self.budgets.items()):
            if now - budget.used_at < self.settings.limits.idle:
                continue
            held = any(slots.until > now for slots in budget.slots.values())
            full = is_full(budget.requests, now) and is_full(budget.tokens, now)
            if full and not held:
                del self.budgets[name]


def is_full(bucket, now):
    """Return whether a bucket is full or unlimited."""
    return not bucket.rate or bucket.refill(now) >= bucket.capacity


def lend_amount(bucket, wanted, need, share, now):
    """Take as much of `wanted` as can be lent from a bucket and return the amount.

    `need` is the amount for a single request.  Nothing is lent until the bucket holds `need` or
    is full; then at least `need` is lent if anything is wanted.

    A `need` above the capacity makes the level negative; then all entries wait for the bucket to
    refill.

    Of a bucket that is less than half full, only the fraction `share` of the level is lent, or
    `need` if that is more.
    """
    if not bucket.rate:
        return 0.0
    if wanted <= 0 or bucket.wait(need, now) > 0:
        return 0.0
    level = bucket.refill(now)
    spare = level if level * 2 >= bucket.capacity else level * share
    amount = max(need, min(wanted, spare))
    bucket.take(amount, now)
    return amount
