"""Which engine reads a short prompt.

Engines are filled one after the other in an order that all entries share, each as far as it keeps
its promises: a sequence more costs those beside it little, and the engines at the other end of the
order stay free for parts of long prompts.
"""

import attrs

from .engine_model import prefill_seconds
from .sizes import memory_of

OBJECTIVE_SHARE = 0.58
"""Share of the latency objective that a predicted first event may use."""

GAP_SHARE = 0.8
"""Share of the longest pause that a predicted pass may use."""

SPARE_SLOTS = 2
"""Slots of an engine that are left for calls which other entries place at the same moment."""

ALONE_SHARE = 0.25
"""Share of an engine's slots that an entry fills which does not know what the others do."""

EASY_TROUBLE = 0.1
"""Trouble score up to which an endpoint is used like any other."""

FULL_COST = 1.0
CROWDED_COST = 0.1
NO_MEMORY_COST = 1.0
TROUBLE_COST = 1.0
"""Costs in seconds of latency: no slot, few slots, no memory, a full trouble score."""


@attrs.frozen
class Fit:
    """How a call would fare at a candidate; `kept` says that all promises are kept.

    `read` and `expected`, the predicted first event, are in seconds.
    """

    candidate: object
    read: float
    expected: float
    kept: bool
    cost: float


def choose_engine(routed, candidates, now, alone=False):
    """Return the first `Fit` in order that keeps its promises, else the cheapest.

    With `alone` engines are filled only in part: other entries place calls that are not known.
    """
    tried = []
    for candidate in sorted(candidates, key=rank):
        found = fit(routed, candidate, now, alone)
        if found.kept:
            return found
        tried.append(found)
    return min(tried, key=cost)


def cost(found):
    """Return the cost of a fit."""
    return found.cost


def rank(candidate):
    """Return a candidate's place in the order."""
    return candidate.rank


def usable_slots(figures, alone):
    """Return the slots of an engine that one call after the other may fill.

    >>> from .messages import EngineProfile
    >>> figures = EngineProfile(8, 232_000, 0.001, 0, 0, 1 / 206_000, 138e-12, 2048, 43)
    >>> usable_slots(figures, alone=False), usable_slots(figures, alone=True)
    (6, 2)
    """
    if alone:
        return max(1, int(figures.slots * ALONE_SHARE))
    return max(1, figures.slots - SPARE_SLOTS)


def fit(routed, candidate, now, alone=False):
    """Return how a call would fare at a candidate."""
    call, route, figures = routed.call, routed.route, routed.service.engine
    load = candidate.load
    read = prefill_seconds(figures, call.prompt_tokens)
    expected = load.predict_first_event(read, now)
    running = load.running()
    full = running >= figures.slots
    crowded = running >= usable_slots(figures, alone)
    strain = max(0.0, read * load.slowdown - load.room(route.gap_objective * GAP_SHARE))
    no_memory = load.free_memory() < memory_of(call)
    in_time = expected <= OBJECTIVE_SHARE * route.objective
    sound = candidate.trouble < EASY_TROUBLE
    total = (
        expected
        + strain
        + TROUBLE_COST * candidate.trouble
        + FULL_COST * full
        + CROWDED_COST * crowded
        + NO_MEMORY_COST * no_memory
    )
    kept = in_time and sound and not (strain or crowded or no_memory)
    return Fit(candidate, read, expected, kept, total)
