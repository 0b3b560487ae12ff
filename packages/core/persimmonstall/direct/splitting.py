"""Over which engines, and into how many parts, a long prompt is split.

Parts are read ahead of other reads, within the passes that also write, so that a large part makes
the pauses of all streams beside it too long.  Few large parts on engines where nothing is being
written, or many small ones that fit into the passes, are weighed by what they cost all callers.
"""

import attrs

from .engine_model import prefill_seconds
from .sizes import worth_of

MAX_HELPERS = 16
"""Engines that may help the first one."""

MAX_WEIGHED = 40
"""Engines that are weighed for every number of parts; of more, the least busy ones are."""

EASY_SHARE = 0.4
LATE_SHARE = 0.95
"""Shares of the latency objective up to which a call is surely in time, and from which late."""

LATE_LOSS = 0.75
"""Share of a call's worth that is lost when it is late."""

WAIT_COST = 0.3
"""Cost of a second until the first event, as a share of the call's worth: more may come."""

QUEUE_COST = 0.01
"""Cost of a second that an engine is busy before it reads a part, besides the wait itself."""

TROUBLE_COST = 2.0
"""Cost of an endpoint with a full trouble score."""

CROWD_COST = 0.002
"""Cost of a part beside one sequence, however small the part."""

RANK_COST = 0.001
"""Cost of the first place in the fixed order, where short prompts go first."""

NO_ROOM_COST = 20.0
"""Cost of a split for which memory is short."""


@attrs.define
class Split:
    """A choice of engines: the first one writes; `part` is in seconds.

    `spread` says that the memory is to be reserved in even shares on all of them.
    """

    first: object
    helpers: list
    part: float
    expected: float
    cost: float
    spread: bool = False

    @property
    def count(self):
        """Number of engines."""
        return len(self.helpers) + 1


def late_share(expected, objective):
    """Return how surely a call is late, from 0 to 1.

    >>> late_share(0.1, 1.0), late_share(2.0, 1.0)
    (0.0, 1.0)
    """
    share = (expected / objective - EASY_SHARE) / (LATE_SHARE - EASY_SHARE)
    return min(1.0, max(0.0, share))


def best_split(routed, candidates, memory, now):
    """Return the cheapest `Split` of a prompt that needs `memory` tokens."""
    candidates = least_busy(candidates, now)
    total = prefill_seconds(routed.service.engine, routed.call.prompt_tokens)
    most = min(len(candidates), MAX_HELPERS + 1)
    splits = [
        split_over(count, routed, candidates, total, memory, now) for count in range(1, most + 1)
    ]
    return min(splits, key=lambda split: split.cost)


def least_busy(candidates, now):
    """Return the `MAX_WEIGHED` engines on which any part costs least."""
    if len(candidates) <= MAX_WEIGHED:
        return candidates
    return sorted(candidates, key=lambda c: part_cost(c, 0.0, now))[:MAX_WEIGHED]


def split_over(count, routed, candidates, total, memory, now):
    """Return the best `Split` over `count` engines."""
    part = total / count
    costs = sorted((part_cost(c, part, now), n) for n, c in enumerate(candidates))
    chosen = [candidates[number] for _, number in costs[:count]]
    first = min(chosen, key=lambda c: first_cost(c, memory))
    helpers = [candidate for candidate in chosen if candidate is not first]
    expected = max(c.load.predict_first_event(part, now) for c in chosen)
    harm = sum(cost for cost, _ in costs[:count])
    late = late_share(expected, routed.route.objective) * LATE_LOSS * worth_of(routed.call)
    spread = count > 1 and first.load.free_memory() < memory
    share = memory / count if spread else memory
    holders = chosen if spread else [first]
    short = any(candidate.load.free_memory() < share for candidate in holders)
    wait = WAIT_COST * worth_of(routed.call) * expected
    cost = harm + late + wait + (NO_ROOM_COST if short else 0.0)
    return Split(first, helpers, part, expected, cost, spread)


def part_cost(candidate, part, now):
    """Return the cost of reading a part at an engine."""
    load = candidate.load
    wait = max(0.0, load.busy_until - now) + load.pending()
    return (
        load.harm(part, now)
        + QUEUE_COST * wait
        + CROWD_COST * load.running()
        + TROUBLE_COST * candidate.trouble
        - RANK_COST * candidate.rank
    )


def first_cost(candidate, memory):
    """Return the order in which engines are taken to write a long prompt's answer."""
    load = candidate.load
    full = load.running() >= load.figures.slots
    return full, max(0, memory - load.free_memory()), load.running(), -candidate.rank
