"""Chooses the engine for a short prompt.

Engines are filled one after the other in an order that all entries share, each for as long as the
latency objectives are met.  One more sequence costs the others on an engine little, and engines at
the end of the order stay free for parts of long prompts.

Other entries choose at the same time, and this one hears of it late.  The more calls are placed
unseen, the more of the engines that meet the objectives are drawn from.
"""

import itertools

import attrs

from .engine_model import prefill_seconds
from .sizes import expected_memory
from .spreading import choose_spread

OBJECTIVE_SHARE = 0.58
"""Share of the latency objective that the predicted first event may use."""

GAP_SHARE = 0.8
"""Share of the gap objective that a predicted pass may use."""

SPARE_SLOTS = 2
"""Slots of an engine that are left free for calls that other entries place at the same time."""

PEERS_UNKNOWN_SHARE = 0.25
"""Share of an engine's slots that an entry fills while it does not know the others' attempts."""

ENGINES_PER_UNSEEN_CALL = 2.0
"""Engines from which one is drawn, for each call that other entries are placing unseen."""

MAX_COMPARED = 200
"""Maximum number of engines that are compared if none meets all objectives."""

HEALTHY_SCORE = 0.1
"""Failure score below which an endpoint is used like any other."""

FULL_COST = 1.0
CROWDED_COST = 0.1
NO_MEMORY_COST = 1.0
FAILURE_COST = 1.0
"""Costs, in seconds of latency, of no free slot, few free slots, too little free memory, and a
failure score of 1."""


@attrs.frozen
class Fit:
    """Predicted result of placing a call at a candidate.

    `prefill`, the prefill time, and `expected`, the time to the first event, are in seconds.
    """

    candidate: object
    prefill: float
    expected: float
    meets_objectives: bool
    cost: float


def choose_engine(routed, candidates, now, random, peers_unknown=False, unseen=0.0):
    """Return the `Fit` of one of the first candidates that meet all objectives, else a cheap one.

    `unseen` is the expected number of calls that other entries have placed and this one does not
    know of; without any, the first of the `RankedCandidates` that meets the objectives is taken.
    With `peers_unknown`, the calls of other entries are not known, and engines are filled only in
    part.
    """
    usable = usable_slots(routed.service.engine, peers_unknown)
    width = 1 + int(ENGINES_PER_UNSEEN_CALL * unseen)
    uncrowded = candidates.with_fewer_than(usable)
    drawn = list(itertools.islice(uncrowded, width))
    random.shuffle(drawn)
    for endpoint in itertools.chain(drawn, uncrowded):
        fit = evaluate(routed, candidates.candidate(endpoint), now, usable)
        if fit.meets_objectives:
            return fit
    prefill = prefill_seconds(routed.service.engine, routed.call.prompt_tokens)
    fits = [
        evaluate(routed, candidates.candidate(endpoint), now, usable)
        for endpoint in candidates.sample(MAX_COMPARED, random)
    ]
    return choose_spread(fits, cost, unseen * prefill, random)


def cost(fit):
    """Return the cost of a fit."""
    return fit.cost


def usable_slots(profile, peers_unknown):
    """Return the number of slots up to which an engine is filled in rank order.

    >>> from .messages import EngineProfile
    >>> profile = EngineProfile(8, 232_000, 0.001, 0, 0, 1 / 206_000, 138e-12, 2048, 43)
    >>> usable_slots(profile, peers_unknown=False), usable_slots(profile, peers_unknown=True)
    (6, 2)
    """
    if peers_unknown:
        return max(1, int(profile.slots * PEERS_UNKNOWN_SHARE))
    return max(1, profile.slots - SPARE_SLOTS)


def evaluate(routed, candidate, now, usable):
    """Return the `Fit` of a call at a candidate, of whose slots `usable` may be filled."""
    call, route, profile = routed.call, routed.route, routed.service.engine
    load = candidate.load
    prefill = prefill_seconds(profile, call.prompt_tokens)
    expected = load.predict_first_event(prefill, now)
    running = load.running()
    full = running >= profile.slots
    crowded = running >= usable
    gap_excess = max(
        0.0, prefill * load.slowdown - load.prefill_headroom(route.gap_objective * GAP_SHARE)
    )
    no_memory = load.free_memory() < expected_memory(call)
    in_time = expected + candidate.surcharge <= OBJECTIVE_SHARE * route.objective
    healthy = candidate.failure_score < HEALTHY_SCORE
    total = (
        expected
        + candidate.surcharge
        + gap_excess
        + FAILURE_COST * candidate.failure_score
        + FULL_COST * full
        + CROWDED_COST * crowded
        + NO_MEMORY_COST * no_memory
    )
    meets_objectives = in_time and healthy and not (gap_excess or crowded or no_memory)
    return Fit(candidate, prefill, expected, meets_objectives, total)
