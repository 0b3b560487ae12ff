"""Chooses the engines over which a long prompt is split, and the number of parts.

Parts are prefilled before other prompts, in the same passes that also generate, so a large part
makes the gaps of all streams on its engine too long.  Few large parts on engines that generate
nothing are weighed against many small parts that fit into the passes, by the cost to all callers.
The first event follows the last part, so that an engine slower than the others costs the time for
which they would wait for it.
"""

import attrs

from .engine_model import prefill_seconds
from .sizes import call_weight
from .slowdowns import SLOW_RATIO

MAX_HELPERS = 16
"""Maximum number of engines that help the first one."""

MAX_CANDIDATES = 40
"""Maximum number of engines considered for a split; of more, the least busy ones are taken."""

DRAWN_CANDIDATES = MAX_HELPERS + 7
"""Number of engines considered for a split while other entries place parts unseen."""

ENGINES_PER_UNSEEN_PART = 2.0
"""Engines that `DRAWN_CANDIDATES` are drawn from in addition, for each unseen part."""

MAX_COMPARED = 200
"""Maximum number of busy engines that are compared for a split."""

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


@attrs.define
class PartCosts:
    """Costs of prefilling a part on the engine of a candidate, by the length of the part.

    `base` is the cost of an empty part; `limits` are pairs of a prefill time in seconds and the
    weight of a call that a longer part makes late.  `ready` is the time in seconds to the first
    event of a prompt without prefill.
    """

    candidate: object
    base: float = 0.0
    limits: list = attrs.field(factory=list)
    ready: float = 0.0

    @property
    def load(self):
        """The load of the engine."""
        return self.candidate.load

    def cost(self, part):
        """Return the cost of a part of `part` seconds.

        >>> from .candidates import Candidate
        >>> from .engine_model import EngineModel
        >>> candidate = Candidate(None, EngineModel(None), 0.5, 0.0)
        >>> PartCosts(candidate, 0.5, [(0.1, 2.0), (0.3, 1.0)]).cost(0.2)
        2.5
        """
        if not self.limits:
            return self.base
        busy = part * self.load.slowdown
        return self.base + sum(weight for limit, weight in self.limits if limit < busy)

    def excess(self, part):
        """Return the seconds by which a part takes longer than its engine's profile says."""
        return part * (self.load.slowdown - 1.0)

    def first_event(self, part):
        """Return the seconds to the first event of a prompt with a part of `part` seconds."""
        return self.ready + part * self.load.slowdown


def best_split(routed, candidates, memory, now, random, unseen=0.0):
    """Return the cheapest `Split` of a prompt that needs `memory` tokens.

    `candidates` are `RankedCandidates`.  `unseen` is the expected number of parts that other
    entries have placed and this one does not know of.
    """
    costs = considered(candidates, now, random, unseen)
    costs.sort(key=lambda each: generator_order(each.candidate, memory))
    total = prefill_seconds(routed.service.engine, routed.call.prompt_tokens)
    max_count = min(len(costs), MAX_HELPERS + 1)
    splits = [split_over(count, routed, costs, total, memory) for count in range(1, max_count + 1)]
    return min(splits, key=lambda split: split.cost)


def considered(candidates, now, random, unseen):
    """Return the `PartCosts` of the engines that are considered for a split.

    They are the least busy ones; while parts are placed unseen, some drawn from more of them, so
    that prompts that are split at the same moment seldom meet on an engine.
    """
    wanted = MAX_CANDIDATES
    if unseen >= 1.0:
        wanted = DRAWN_CANDIDATES + int(ENGINES_PER_UNSEEN_PART * unseen)
    costs = least_busy(candidates, wanted, now, random)
    if unseen >= 1.0 and len(costs) > DRAWN_CANDIDATES:
        return random.sample(costs, DRAWN_CANDIDATES)
    return costs


def least_busy(candidates, wanted, now, random):
    """Return the `PartCosts` of the `wanted` engines on which an empty part would cost least.

    Engines without any work come first, the last ones in rank order; the others are looked at if
    these are too few, and of very many just some.
    """
    idle = candidates.last_idle(wanted)
    costs = [part_costs(candidates.candidate(endpoint), now) for endpoint in idle]
    if len(costs) < wanted:
        busy = candidates.sample(MAX_COMPARED, random, without=idle)
        costs += [part_costs(candidates.candidate(endpoint), now) for endpoint in busy]
        costs.sort(key=lambda each: each.base)
    return costs[:wanted]


def split_over(count, routed, costs, total, memory):
    """Return the cheapest `Split` over `count` engines.

    `costs` are in the order in which the engine that generates the answer is chosen.
    """
    part = total / count
    wait = WAIT_COST * call_weight(routed.call)
    ordered = sorted(
        (each.cost(part) + wait * each.excess(part), number) for number, each in enumerate(costs)
    )[:count]
    chosen = [costs[number] for number in sorted(number for _, number in ordered)]
    first, *helpers = chosen
    expected = max(each.first_event(part) for each in chosen) + first.candidate.way
    engines_cost = sum(each.cost(part) for each in chosen)
    late_cost = (
        late_probability(expected, routed.route.objective) * LATE_COST * call_weight(routed.call)
    )
    spread_memory = count > 1 and first.load.free_memory() < memory
    share = memory / count if spread_memory else memory
    holders = chosen if spread_memory else [first]
    memory_short = any(each.load.free_memory() < share for each in holders)
    cost = engines_cost + late_cost + wait * expected + (NO_MEMORY_COST if memory_short else 0.0)
    candidates = [each.candidate for each in helpers]
    return Split(first.candidate, candidates, part, expected, cost, spread_memory)


def part_costs(candidate, now):
    """Return the `PartCosts` of an engine; only the first engine of a split pays for the way."""
    load = candidate.load
    wait = max(0.0, load.busy_until - now) + load.pending_prefill()
    base = (
        QUEUE_COST * wait
        + SEQUENCE_COST * load.running()
        + candidate.surcharge
        - candidate.way
        + FAILURE_COST * candidate.failure_score
        - RANK_COST * candidate.rank
    )
    ready = load.predict_first_event(0.0, now)
    return PartCosts(candidate, base, load.lateness_limits(now), ready)


def generator_order(candidate, memory):
    """Return the sort key by which the engine that generates a long prompt's answer is chosen."""
    load = candidate.load
    full = load.running() >= load.profile.slots
    memory_short = max(0, memory - load.free_memory())
    slow = load.slowdown >= SLOW_RATIO
    return full, memory_short, slow, load.running(), candidate.way, -candidate.rank
