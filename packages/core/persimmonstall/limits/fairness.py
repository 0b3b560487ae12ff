"""Weighted fair shares of organisations at an entry that finds too little capacity.

An entry is overloaded while the share of recent requests for which no endpoint had capacity
exceeds the setting `limits.pressure`.  Then an organisation is limited to a multiple of its fair
share, which shrinks as that share of requests grows.  Fair shares are weighted by priority, so
that less urgent organisations are limited first.
"""

import math

import attrs

from ..failures import Reason, Refusal
from .budget_owner import bounded_retry
from .demand import DecayedRate

STEP = "fairness"
"""Name of this step in refusals."""

HORIZON_SECONDS = 10.0
"""Time over which usage and the share of requests without capacity are averaged."""

LOWEST_PRIORITY = 9
"""Number of the least urgent priority."""

IDLE_SECONDS = 60.0
"""Time without a request after which an organisation's usage is evicted, in seconds."""


@attrs.define
class Usage:
    """Recent token rate of an organisation, and its weight by priority."""

    tokens: DecayedRate
    weight: float
    used_at: float


def weight_of(priority):
    """Return the weight of a priority, which falls by a factor of 1.2 per step.

    >>> weight_of(9), weight_of(0) > 4 * weight_of(9)
    (1.0, True)
    """
    return 1.2 ** (LOWEST_PRIORITY - priority)


def fair_level(demands, capacity):
    """Return the rate per weight up to which demands are met if `capacity` is shared fairly.

    `demands` are pairs of a rate and a weight.  What some do not use goes to those who ask for
    more; the level is infinite if there is enough for all.

    >>> fair_level([(50.0, 1.0), (1.0, 1.0), (1.0, 1.0)], 30.0)
    28.0
    >>> fair_level([(30.0, 1.0), (30.0, 2.0)], 30.0), fair_level([(30.0, 1.0)], 40.0)
    (10.0, inf)
    """
    left, weights = capacity, sum(weight for _, weight in demands)
    for rate, weight in sorted(demands, key=lambda demand: demand[0] / demand[1]):
        if rate / weight > left / weights:
            return left / weights
        left -= rate
        weights -= weight
    return math.inf


class FairShare:
    """Usage by organisation at one entry; only of recently active organisations."""

    def __init__(self, settings, now):
        self.threshold = settings.limits.pressure
        self.usages = {}
        self.arrivals = DecayedRate(HORIZON_SECONDS, now)
        self.no_capacity = DecayedRate(HORIZON_SECONDS, now)

    def no_capacity_share(self, now):
        """Return the share of recent requests that found no capacity, 0 to 1."""
        arrivals = self.arrivals.value(now)
        return min(1.0, self.no_capacity.value(now) / arrivals) if arrivals else 0.0

    def record_no_capacity(self, now):
        """Record a request for which no endpoint had capacity."""
        self.no_capacity.add(1.0, now)

    def admit(self, organisation, tokens, now):
        """Return True, or a `Refusal` while the entry is overloaded.

        Only organisations over their share are refused.
        """
        self.arrivals.add(1.0, now)
        usage = self.usage_of(organisation, now)
        no_capacity_share = self.no_capacity_share(now)
        if no_capacity_share > self.threshold:
            allowed = self.allowed(usage, no_capacity_share, now)
            rate = usage.tokens.value(now)
            if rate > allowed:
                wait = HORIZON_SECONDS * (1.0 - allowed / rate)
                return Refusal(Reason.OVERLOADED, STEP, retry_after=bounded_retry(wait))
        usage.tokens.add(tokens, now)
        return True

    def usage_of(self, organisation, now):
        """Return the `Usage` of an `Organisation`, updated for a request at `now`."""
        usage = self.usages.get(organisation.name)
        if usage is None:
            usage = Usage(DecayedRate(HORIZON_SECONDS, now), 1.0, now)
            self.usages[organisation.name] = usage
        usage.weight = weight_of(organisation.priority)
        usage.used_at = now
        return usage

    def allowed(self, usage, no_capacity_share, now):
        """Return the tokens per second that the organisation may use.

        It is the organisation's weighted share of the total recent rate, multiplied by a factor
        that falls from 2, if all requests found capacity, to 1, if none did.
        """
        total = sum(other.tokens.value(now) for other in self.usages.values())
        weights = sum(other.weight for other in self.usages.values())
        return total * usage.weight / weights * (2.0 - no_capacity_share)

    def evict(self, now):
        """Evict organisations that have been idle for `IDLE_SECONDS` seconds."""
        idle = [name for name, usage in self.usages.items() if now - usage.used_at >= IDLE_SECONDS]
        for name in idle:
            del self.usages[name]
