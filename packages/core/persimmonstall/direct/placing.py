"""Where a call goes, and how a long prompt is split over several engines.

Short prompts fill the engines from one end of a fixed order, parts of long prompts from the
other, so that few sequences are being written where long reads stretch the passes.  Answers the
days on which floods of short and of long prompts alternate or meet.
"""

import functools
import math

import attrs
import xxhash

from ..failures import Failure, Reason
from .engine_model import prefill_seconds
from .loads import EndpointDemand, InFlightAttempt
from .messages import AttemptRequest, Helper
from .packing import GAP_SHARE, choose_engine
from .sizes import memory_of, worth_of
from .splitting import best_split

STEP = "place"

SPLIT_SECONDS = 0.12
"""Reading time of a prompt from which it is split."""

PATIENCE_SHARE = 0.9
"""Share of the latency objective by which a first event should be there."""

TROUBLE_COST = 2.0
"""Cost of a full trouble score at a plain service, in loads of an endpoint."""

AWAY_COST = 0.1
"""Cost of an endpoint in another data centre, in loads of an endpoint."""

MAX_RANKS = 4096
"""Places in the order that are remembered instead of being hashed for each call."""

FIRST_URGENCY = 3
LATER_URGENCY = 5
"""Urgency of calls below and above `URGENT_OBJECTIVE`; a lower one is admitted first."""

URGENT_OBJECTIVE = 0.5
"""Latency objective, in seconds, up to which a call is urgent."""


@attrs.frozen
class PlacedAttempt:
    """Where an attempt goes; `predicted_first_event` is the predicted time to it in seconds.

    `tickets` are the tokens to be reserved at each helper by the name of its ticket.
    """

    request: AttemptRequest
    attempt: InFlightAttempt
    predicted_first_event: float = 0.0
    tickets: tuple[tuple[Helper, int], ...] = ()


@attrs.define
class Candidate:
    """An endpoint that a call could go to."""

    endpoint: object
    load: object
    rank: float
    trouble: float


@functools.lru_cache(maxsize=MAX_RANKS)
def rank_of(name, salt=""):
    """Return the endpoint's place in the order of entries that share a salt, from 0 to 1."""
    return xxhash.xxh3_64_intdigest((salt + name).encode()) / 2**64


@attrs.define
class Placer:
    """Chooses endpoints from the fleet, what is in flight, and what went wrong lately.

    The order of engines is the same at all entries.  An entry that does not know yet what the
    others have in flight has a `salt`: an order of its own.  `data_centre` is the entry's.
    """

    fleet: object
    load_tracker: object
    failure_scores: object
    salt: str = ""
    data_centre: str = ""

    def place(self, routed, now, name, avoid=frozenset(), resume_after=-1):
        """Return `PlacedAttempt` for the attempt `name`, or a `Failure`."""
        candidates = self.candidates(routed, now, avoid)
        if not candidates:
            return Failure(Reason.NO_ENDPOINT, STEP, detail=routed.service.name)
        if routed.service.engine is None:
            return self.place_plain(routed, candidates, now, name)
        if prefill_seconds(routed.service.engine, routed.call.prompt_tokens) > SPLIT_SECONDS:
            return self.place_long(routed, candidates, now, name, resume_after)
        return self.place_short(routed, candidates, now, name, resume_after)

    def candidates(self, routed, now, avoid):
        """Return the usable endpoints but those whose names are in `avoid`."""
        usable = self.fleet.usable(routed.service.name)
        fresh = [endpoint for endpoint in usable if endpoint.name not in avoid]
        return [
            Candidate(
                endpoint,
                self.load_tracker.load_of(endpoint, routed.service, now),
                rank_of(endpoint.name, self.salt),
                self.failure_scores.score(endpoint.name, now),
            )
            for endpoint in fresh
        ]

    def place_plain(self, routed, candidates, now, name):
        """Choose the endpoint of a plain service with the least in flight for its slots."""
        best = min(candidates, key=self.plain_cost)
        demand = EndpointDemand(best.endpoint.name)
        request = AttemptRequest(best.endpoint, routed.deadline - now)
        return PlacedAttempt(request, InFlightAttempt(name, (demand,)))

    def plain_cost(self, candidate):
        """Return the cost of a call at a plain service's endpoint, and a place among equals."""
        endpoint = candidate.endpoint
        away = endpoint.data_centre != self.data_centre
        cost = (
            candidate.load.running() / endpoint.slots
            + TROUBLE_COST * candidate.trouble
            + AWAY_COST * away
        )
        return cost, candidate.rank

    def place_short(self, routed, candidates, now, name, resume_after):
        """Choose one engine for a prompt that is not split."""
        call = routed.call
        fit = choose_engine(routed, candidates, now, alone=bool(self.salt))
        first = fit.candidate.endpoint
        demand = writing_piece(routed, first, fit.read, call.prompt_tokens, memory_of(call))
        request = engine_sending(routed, first, now, resume_after)
        return PlacedAttempt(request, InFlightAttempt(name, (demand,)), fit.expected)

    def place_long(self, routed, candidates, now, name, resume_after):
        """Split a prompt into even parts over several engines."""
        call = routed.call
        memory = memory_of(call)
        split = best_split(routed, candidates, memory, now)
        share = math.ceil(memory / split.count) if split.spread else 0
        context = call.prompt_tokens // split.count if share else call.prompt_tokens
        first = split.first.endpoint
        demands = [writing_piece(routed, first, split.part, context, share or memory)]
        helpers = []
        for number, candidate in enumerate(split.helpers):
            ticket = f"{name}-{number}" if share else ""
            helpers.append(Helper(candidate.endpoint, ticket))
            demands.append(
                EndpointDemand(candidate.endpoint.name, split.part, 0, share, writes=False)
            )
        request = engine_sending(routed, first, now, resume_after, tuple(helpers))
        tickets = tuple((helper, share) for helper in helpers) if share else ()
        return PlacedAttempt(
            request, InFlightAttempt(name, tuple(demands)), split.expected, tickets
        )


def writing_piece(routed, endpoint, read, context, memory):
    """Return what a call asks of the engine that writes its answer."""
    return EndpointDemand(
        endpoint.name,
        read,
        context,
        memory,
        gap=routed.route.gap_objective * GAP_SHARE,
        patience=routed.route.objective * PATIENCE_SHARE,
        worth=worth_of(routed.call),
    )


def engine_sending(routed, endpoint, now, resume_after, helpers=()):
    """Return the `AttemptRequest` of a call to the engine that writes its answer."""
    return AttemptRequest(
        endpoint,
        routed.deadline - now,
        urgency=urgency_of(routed.route),
        helpers=helpers,
        resume_after=resume_after,
    )


def urgency_of(route):
    """Return the urgency of a route's calls at the engine."""
    return FIRST_URGENCY if route.objective <= URGENT_OBJECTIVE else LATER_URGENCY
