"""The keeper's side of an organisation's budget: lends amounts and slots to entries.

The keeper holds the one bucket for what exceeds the entries' own shares, so that whatever it
lends is within the limit.  State is kept only for organisations that asked lately.
"""

import math

import attrs

from ..messages.control import BudgetLease
from .bucket import Bucket

LONGEST_RETRY = 60.0
"""Seconds; the longest time to come back that a caller is told."""

SHORTEST_RETRY = 0.05
"""Seconds; the shortest one."""

WARM_UP = 2.0
"""Seconds after a change of the live entries in which slots in use are reported to the new
keeper, and in which it lends beyond them only an even share."""


def bounded_retry(seconds):
    """Return `seconds` within the bounds of what a caller is told.

    >>> bounded_retry(0.0), bounded_retry(1e9)
    (0.05, 60.0)
    """
    return min(LONGEST_RETRY, max(SHORTEST_RETRY, seconds))


@attrs.define
class Slots:
    """Concurrent requests lent to one entry until `until`."""

    count: int
    until: float


@attrs.define
class Pool:
    """Budget of one organisation at its keeper."""

    requests: Bucket
    tokens: Bucket
    slots: dict = attrs.field(factory=dict)
    wanted: dict = attrs.field(factory=dict)
    promised: float = 0.0
    promised_at: float = 0.0
    touched: float = 0.0


def lent_rate(limit, settings):
    """Return the part of a limit that its keeper lends, per second."""
    return limit * (1.0 - settings.limits.own_share)


def own_slots(limit, entries, settings):
    """Return how many slots each entry has without asking."""
    return math.floor(limit * settings.limits.own_share / max(1, entries))


class BudgetOwner:
    """Lends the budgets of the organisations that rendezvous hashing gives to this entry."""

    def __init__(self, settings, invariants):
        self.settings = settings
        self.invariants = invariants
        self.pools = {}

    def pool_of(self, organisation, now):
        """Return the pool of an `Organisation`, sized by the limits now in force."""
        request_rate = lent_rate(organisation.requests_per_second, self.settings)
        token_rate = lent_rate(organisation.tokens_per_second, self.settings)
        burst = self.settings.limits.burst
        request_capacity = max(1.0, request_rate * burst)
        pool = self.pools.get(organisation.name)
        if pool is None:
            requests = Bucket(request_rate, request_capacity, now)
            pool = Pool(requests, Bucket(token_rate, token_rate * burst, now))
            self.pools[organisation.name] = pool
        pool.requests.resize(request_rate, request_capacity, now)
        pool.tokens.resize(token_rate, token_rate * burst, now)
        pool.touched = now
        return pool

    def lend(self, ask, instance, organisation, entries, now, changed=-math.inf):
        """Answer the `BudgetRequest` of `instance`, one of `entries` live ones, with a lease.

        `changed` is when the set of live entries last changed.
        """
        pool = self.pool_of(organisation, now)
        pool.requests.give(ask.returned_requests, now)
        pool.tokens.give(ask.returned_tokens, now)
        part = self.contended_part(pool, ask, instance, now)
        requests = lend_amount(pool.requests, ask.requests, 1.0, part, now)
        tokens = lend_amount(pool.tokens, ask.tokens, ask.need, part, now)
        warm = now - changed >= WARM_UP
        slots = self.lend_slots(pool, ask, instance, organisation, entries, now, warm)
        retry = self.retry_after(pool, ask, requests, tokens, now)
        seconds = self.settings.limits.slot_lease
        return BudgetLease(ask.organisation, ask.sequence, requests, tokens, slots, seconds, retry)

    def contended_part(self, pool, ask, instance, now):
        """Return the asker's part of what entries wanted within the time of a burst."""
        since = now - self.settings.limits.burst
        pool.wanted = {name: want for name, want in pool.wanted.items() if want[1] >= since}
        amount = ask.requests + ask.tokens
        pool.wanted[instance] = (amount, now)
        total = sum(want for want, _ in pool.wanted.values())
        return amount / total if total else 1.0

    def lend_slots(self, pool, ask, instance, organisation, entries, now, warm):
        """Return how many slots `instance` is lent from now on."""
        limit = organisation.concurrency
        if not limit:
            return 0
        pool.slots.pop(instance, None)
        pool.slots = {name: held for name, held in pool.slots.items() if held.until > now}
        lendable = limit - entries * own_slots(limit, entries, self.settings)
        lent = sum(held.count for held in pool.slots.values())
        wanted = ask.slots
        if not warm:
            wanted = min(wanted, max(ask.held, math.ceil(lendable / entries)))
        count = max(0, min(wanted, lendable - lent))
        if count:
            until = now + self.settings.limits.slot_lease
            pool.slots[instance] = Slots(count, until)
        held = sum(slots.count for slots in pool.slots.values())
        self.invariants.check("slots_within_limit", held <= max(lent, lendable), ask.organisation)
        return count

    def retry_after(self, pool, ask, requests, tokens, now):
        """Return when to ask again, 0 if all was lent.

        Amounts promised to those refused before are waited for too, so that callers do not
        all come back at once.
        """
        short = ask.requests - requests if pool.requests.rate else 0.0
        if short < 1 and not (pool.tokens.rate and tokens < ask.need):
            return 0.0
        elapsed = now - pool.promised_at
        pool.promised = max(0.0, pool.promised - elapsed * pool.requests.rate)
        pool.promised_at = now
        wait = pool.tokens.wait(ask.need, now)
        if pool.requests.rate:
            wait = max(wait, pool.requests.wait(1.0, now) + pool.promised / pool.requests.rate)
            pool.promised += min(1.0, max(0.0, short))
        return bounded_retry(wait)

    def forget(self, instance):
        """Take back the slots of an instance that is gone."""
        for pool in self.pools.values():
            pool.slots.pop(instance, None)

    def evict(self, now):
        """Drop pools whose state says no more than a new one's would."""
        for name, pool in list(self.pools.items()):
            if now - pool.touched < self.settings.limits.idle:
                continue
            held = any(slots.until > now for slots in pool.slots.values())
            full = is_full(pool.requests, now) and is_full(pool.tokens, now)
            if full and not held:
                del self.pools[name]


def is_full(bucket, now):
    """Return whether a bucket is at its capacity."""
    return not bucket.rate or bucket.refill(now) >= bucket.capacity


def lend_amount(bucket, wanted, need, part, now):
    """Take what can be lent of `wanted` out of a bucket and return it.

    A single request of `need` is lent whole once the bucket holds it or is full, and leaves a
    debt that all entries wait for.  Beyond that, a bucket less than half full is divided by
    `part`.
    """
    if not bucket.rate:
        return 0.0
    if wanted <= 0 or bucket.wait(need, now) > 0:
        return 0.0
    level = bucket.refill(now)
    spare = level if level * 2 >= bucket.capacity else level * part
    amount = max(need, min(wanted, spare))
    bucket.take(amount, now)
    return amount
