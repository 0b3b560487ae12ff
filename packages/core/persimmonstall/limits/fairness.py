"""Priority and fair share between organisations at an entry under pressure.

Pressure is the share of requests that lately found no room at any endpoint.  Under pressure an
organisation is held to a multiple of its fair share that shrinks as the pressure grows, and a
less urgent priority is squeezed before a more urgent one.  Without pressure nobody is refused.
"""

import attrs

from ..failures import Reason, Refusal
from .budget_owner import bounded_retry
from .demand import DecayedRate

STEP = "fairness"
"""Name of the pipeline's step in refusals."""

HORIZON = 10.0
"""Seconds over which use and pressure are averaged."""

LOWEST_PRIORITY = 9
"""The least urgent priority of an organisation."""

IDLE = 60.0
"""Seconds without a request after which an organisation's use is dropped."""


@attrs.define
class Use:
    """Tokens an organisation used lately, and its weight by priority."""

    tokens: DecayedRate
    weight: float
    used: float


def weight_of(priority):
    """Return the weight of a priority; each step is worth about a fifth.

    >>> weight_of(9), weight_of(0) > 4 * weight_of(9)
    (1.0, True)
    """
    return 1.2 ** (LOWEST_PRIORITY - priority)


class FairShare:
    """Use by organisation at one entry, bounded by those active lately."""

    def __init__(self, settings, now):
        self.threshold = settings.limits.pressure
        self.uses = {}
        self.arrivals = DecayedRate(HORIZON, now)
        self.crowded = DecayedRate(HORIZON, now)

    def pressure(self, now):
        """Return the share of requests that found no room lately, 0 to 1."""
        arrivals = self.arrivals.value(now)
        return min(1.0, self.crowded.value(now) / arrivals) if arrivals else 0.0

    def record_no_capacity(self, now):
        """Count a request that no endpoint had room for."""
        self.crowded.add(1.0, now)

    def admit(self, organisation, tokens, now):
        """Return True, or the `Refusal` of an organisation over its share under pressure."""
        self.arrivals.add(1.0, now)
        use = self.use_of(organisation, now)
        pressure = self.pressure(now)
        if pressure > self.threshold:
            allowed = self.allowed(use, pressure, now)
            rate = use.tokens.value(now)
            if rate > allowed:
                wait = HORIZON * (1.0 - allowed / rate)
                return Refusal(Reason.OVERLOADED, STEP, retry_after=bounded_retry(wait))
        use.tokens.add(tokens, now)
        return True

    def use_of(self, organisation, now):
        """Return the `Use` of an `Organisation`."""
        use = self.uses.get(organisation.name)
        if use is None:
            use = Use(DecayedRate(HORIZON, now), 1.0, now)
            self.uses[organisation.name] = use
        use.weight = weight_of(organisation.priority)
        use.used = now
        return use

    def allowed(self, use, pressure, now):
        """Return the tokens per second that the organisation may use under `pressure`.

        It is its weighted share of all lately used, times 2 at little pressure and 1 at full
        pressure.
        """
        total = sum(other.tokens.value(now) for other in self.uses.values())
        weights = sum(other.weight for other in self.uses.values())
        return total * use.weight / weights * (2.0 - pressure)

    def evict(self, now):
        """Drop organisations that sent nothing for a while."""
        idle = [name for name, use in self.uses.items() if now - use.used >= IDLE]
        for name in idle:
            del self.uses[name]
