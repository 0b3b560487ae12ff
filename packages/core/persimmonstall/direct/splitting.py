"""Chooses the engines over which a long prompt is split, and the number of parts.

Parts are prefilled before other prompts, in the same passes that also generate, so a large part
makes the gaps of all streams on its engine too long.  Few large parts on engines that generate
nothing are weighed against many small parts that fit into the passes, by the cost to all callers.
"""

import attrs

from .engine_model import prefill_seconds
from .sizes import call_weight

MAX_HELPERS = 16
"""Maximum number of engines that help the first one."""

MAX_CANDIDATES = 40
"""Maximum number of engines considered for a split; of more, the least busy ones are taken."""

IN_TIME_SHARE = 0.4
LATE_SHARE = 0.95
"""Shares of the latency objective between which a call may be late.

Below IN_TIME_SHARE a call counts as in time, above LATE_SHARE as late; between the two the
probability that it is late grows linearly."""

LATE_COST = 0.75
"""Cost of a late call, as a share of its weight."""

WAIT_COST = 0.3
"""Cost of a second until the first event, as a share of the call's weight: other calls may arrive
in the meantime."""

QUEUE_COST = 0.01
"""Cost of a second that an engine is busy before it prefills a part, besides the wait itself."""

FAILURE_COST = 2.0
"""Cost of an endpoint with a failure score of 1."""

SEQUENCE_COST = 0.002
"""Cost of a part, however small, for each sequence on the same engine."""

RANK_COST = 0.001
"""Cost of the first engine in rank order above that of the last, since short prompts fill engines
in this order."""

NO_MEMORY_COST = 20.0
"""Cost of a split for which there is too little free memory."""


@attrs.define
class Split:
    """A choice of engines: `first` generates the answer, `helpers` only prefill.

    `part` is the prefill time of each in seconds, `expected` the time to the first event.  With
    `spread_memory`, memory is reserved in equal shares on all of them.
    """

    first: object
    helpers: list
    part: float
    expected: float
    cost: float
    spread_memory: bool = False

    @property
    def count(self):
        """Number of engines."""
        return len(self.helpers) + 1


def late_probability(expected, objective):
    """Return the estimated probability that a call is late, from 0 to 1.

    >>> late_probability(0.1, 1.0), late_probability(2.0, 1.0)
    (0.0, 1.0)
    """
    share = (expected / objective - IN_TIME_SHARE) / (LATE_SHARE - IN_TIME_SHARE)
    return min(1.0, max(0.0, share))


def best_split(routed, candidates, memory, now):
    """Return the cheapest `Split` of a prompt that needs `memory` tokens."""
    candidates = least_busy(candidates, now)
    total = prefill_seconds(routed.service.engine, routed.call.prompt_tokens)
    max_count = min(len(candidates), MAX_HELPERS + 1)
    splits = [
        split_over(count, routed, candidates, total, memory, now)
        for count in range(1, max_count + 1)
    ]
    return min(splits, key=lambda split: split.cost)


def least_busy(candidates, now):
    """Return the `MAX_CANDIDATES` engines on which an empty part would cost least."""
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    return sorted(candidates, key=lambda c: part_cost(c, 0.0, now))[:MAX_CANDIDATES]


def split_over(count, routed, candidates, total, memory, now):
    """Return the cheapest `Split` over `count` engines."""
    part = total / count
    costs = sorted((part_cost(c, part, now), n) for n, c in enumerate(candidates))
    chosen = [candidates[number] for _, number in costs[:count]]
    first = min(chosen, key=lambda c: generator_order(c, memory))
    helpers = [candidate for candidate in chosen if candidate is not first]
    expected = max(c.load.predict_first_event(part, now) for c in chosen)
    engines_cost = sum(cost for cost, _ in costs[:count])
    late_cost = (
        late_probability(expected, routed.route.objective) * LATE_COST * call_weight(routed.call)
    )
    spread_memory = count > 1 and first.load.free_memory() < memory
    share = memory / count if spread_memory else memory
    holders = chosen if spread_memory else [first]
    memory_short = any(candidate.load.free_memory() < share for candidate in holders)
    wait = WAIT_COST * call_weight(routed.call) * expected
    cost = engines_cost + late_cost + wait + (NO_MEMORY_COST if memory_short else 0.0)
    return Split(first, helpers, part, expected, cost, spread_memory)


def part_cost(candidate, part, now):
    """Return the cost of prefilling a part on an engine."""
    load = candidate.load
    wait = max(0.0, load.busy_until - now) + load.pending_prefill()
    return (
        load.lateness_cost(part, now)
        + QUEUE_COST * wait
        + SEQUENCE_COST * load.running()
        + FAILURE_COST * candidate.failure_score
        - RANK_COST * candidate.rank
    )


def generator_order(candidate, memory):
    """Return the sort key by which the engine that generates a long prompt's answer is chosen."""
    load = candidate.load
    full = load.running() >= load.profile.slots
    return full, max(0, memory - load.free_memory()), load.running(), -candidate.rank
