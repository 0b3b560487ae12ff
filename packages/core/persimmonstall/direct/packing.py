"""Chooses the engine for a short prompt.

Engines are filled one after the other in an order that all entries share, each for as long as the
latency objectives are met.  One more sequence costs the others on an engine little, and engines at
the end of the order stay free for parts of long prompts.

Other entries choose at the same time, and this one hears of it late.  The more calls are placed
unseen, the more of the engines that meet the objectives are drawn from.  Where none does, the call
goes where it makes the fewest callers late.
"""

import itertools

import attrs

from .engine_model import prefill_seconds
from .room import filling, late_cost
from .sizes import expected_memory
from .spreading import choose_spread

OBJECTIVE_SHARE = 0.58
"""Share of the latency objective that the predicted first event may use."""

GAP_SHARE = 0.8
"""Share of the gap objective that a predicted pass may use."""

MAX_COMPARED = 200
"""Maximum number of engines that are compared if none meets all objectives."""

HEALTHY_SCORE = 0.1
"""Failure score below which an endpoint is used like any other."""

NO_MEMORY_COST = 1.0
FAILURE_COST = 1.0
"""Costs, in seconds of latency, of too little free memory and of a failure score of 1."""


@attrs.frozen
class Fit:
    """Predicted result of placing a call at a candidate.

    `prefill`, the prefill time, and `expected`, the time to the first event, are in seconds.
    """

    candidate: object
    prefill: float
    expected: float
    meets_objectives: bool


def choose_engine(routed, candidates, now, random, peers_unknown=False, unseen=0.0):
    """Return the `Fit` of one of the first candidates that meet all objectives, else a cheap one.

    `unseen` is the expected number of calls that other entries have placed and this one does not
    know of; without any, the first of the `RankedCandidates` that meets the objectives is taken.
    With `peers_unknown`, the calls of other entries are not known, and engines are filled only in
    part.
    """
    profile = routed.service.engine
    filled = filling(profile.slots, candidates.count_running(), unseen, peers_unknown)
    last = filled.usable if peers_unknown else profile.slots
    for usable in range(filled.usable, last + 1):
        fit = first_fit(routed, candidates, now, random, usable, filled.width)
        if fit is not None:
            return fit
    return cheapest(routed, candidates, now, random, unseen)


def first_fit(routed, candidates, now, random, usable, width):
    """Return the `Fit` of a candidate with fewer than `usable` calls, None if none fits.

    It is drawn from the first `width`, or is the first after them that meets the objectives.
    """
    uncrowded = candidates.with_fewer_than(usable)
    drawn = list(itertools.islice(uncrowded, width))
    random.shuffle(drawn)
    for endpoint in itertools.chain(drawn, uncrowded):
        candidate = candidates.candidate(endpoint)
        if candidate.load.running() >= usable:
            continue
        fit = evaluate(routed, candidate, now)
        if fit.meets_objectives:
            return fit
    return None


def cheapest(routed, candidates, now, random, unseen):
    """Return the `Fit` of a candidate where few callers become late."""
    drawn = candidates.sample(MAX_COMPARED, random)
    fits = [evaluate(routed, candidates.candidate(endpoint), now) for endpoint in drawn]
    each = unseen / len(candidates.endpoints)
    costs = {id(fit): cost(routed, fit, each, now) for fit in fits}
    volume = unseen * prefill_seconds(routed.service.engine, routed.call.prompt_tokens)
    return choose_spread(fits, lambda fit: costs[id(fit)], volume, random)


def evaluate(routed, candidate, now):
    """Return the `Fit` of a call at a candidate."""
    route, load = routed.route, candidate.load
    prefill = prefill_seconds(routed.service.engine, routed.call.prompt_tokens)
    expected = load.predict_first_event(prefill, now)
    headroom = load.prefill_headroom(route.gap_objective * GAP_SHARE)
    meets_objectives = (
        expected + candidate.surcharge <= OBJECTIVE_SHARE * route.objective
        and prefill * load.slowdown <= headroom
        and candidate.failure_score < HEALTHY_SCORE
        and load.free_memory() >= expected_memory(routed.call)
    )
    return Fit(candidate, prefill, expected, meets_objectives)


def cost(routed, fit, unseen, now):
    """Return the cost of a fit, in seconds; `unseen` calls are expected at its engine."""
    load, candidate = fit.candidate.load, fit.candidate
    no_memory = load.free_memory() < expected_memory(routed.call)
    return (
        fit.expected
        + candidate.surcharge
        + late_cost(routed, load, fit.prefill, fit.expected, unseen, now)
        + FAILURE_COST * candidate.failure_score
        + NO_MEMORY_COST * no_memory
    )
