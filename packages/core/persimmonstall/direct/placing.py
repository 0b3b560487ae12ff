"""Chooses the endpoint of a call, and splits a long prompt over several engines.

Short prompts fill the engines from one end of a fixed order, parts of long prompts from the
other, so that few sequences are generating where long prefills lengthen the passes.  This keeps
latencies low when bursts of short and of long prompts alternate or overlap.
"""

import functools
import math

import attrs
import xxhash

from ..failures import Failure, Postponed, Reason
from .engine_model import prefill_seconds
from .loads import EndpointDemand, InFlightAttempt
from .messages import AttemptRequest, Helper
from .notices import EndpointNotices
from .packing import GAP_SHARE, choose_engine
from .sizes import call_weight, expected_memory
from .splitting import best_split

STEP = "place"

SPLIT_SECONDS = 0.12
"""Prefill time of a prompt above which it is split."""

FIRST_EVENT_SHARE = 0.9
"""Share of the latency objective within which the first event should be sent."""

FAILURE_COST = 2.0
"""Cost of a failure score of 1 at a plain service; 1.0 is the load of a full endpoint."""

REMOTE_COST = 0.1
"""Cost of an endpoint in another data centre, in the same unit."""

MAX_RANKS = 4096
"""Number of ranks that are cached, so that they are not hashed for each call."""

HIGH_URGENCY = 3
LOW_URGENCY = 5
"""Urgency of calls whose latency objective is at most `URGENT_OBJECTIVE`, and of all others;
engines admit lower values first."""

URGENT_OBJECTIVE = 0.5
"""Latency objective, in seconds, up to which a call is urgent."""


@attrs.frozen
class PlacedAttempt:
    """Where an attempt is sent; `predicted_first_event` is in seconds from now.

    `tickets` holds (helper, tokens) pairs: the memory to reserve at each helper, under its ticket.
    """

    request: AttemptRequest
    attempt: InFlightAttempt
    predicted_first_event: float = 0.0
    tickets: tuple[tuple[Helper, int], ...] = ()


@attrs.define
class Candidate:
    """An endpoint that a call could be sent to.

    `rank` is its place in the order, from 0 to 1.  Short prompts prefer low ranks, parts of long
    prompts high ones.
    """

    endpoint: object
    load: object
    rank: float
    failure_score: float


@functools.lru_cache(maxsize=MAX_RANKS)
def rank_of(name, salt=""):
    """Return an endpoint's rank, from 0 to 1; entries with the same salt share the order."""
    return xxhash.xxh3_64_intdigest((salt + name).encode()) / 2**64


@attrs.define
class Placer:
    """Chooses endpoints by the fleet, its notices, the attempts in flight and recent failures.

    All entries rank engines in the same order.  An entry that does not know the attempts of the
    others yet uses a `salt`, which gives it an order of its own.  `data_centre` is the entry's.
    """

    fleet: object
    load_tracker: object
    failure_scores: object
    request_limits: object
    notices: EndpointNotices = attrs.field(factory=EndpointNotices)
    salt: str = ""
    data_centre: str = ""

    def place(
        self,
        routed,
        now,
        name,
        avoid=frozenset(),
        resume_after=-1,
        only="",
        include_limited=False,
    ):
        """Return `PlacedAttempt` for the attempt `name`, or a `Failure`.

        It goes to the endpoint `only` if one is named, else to endpoints without a request limit
        unless `include_limited`.
        """
        endpoints = self.untried_endpoints(routed, avoid, now)
        if only:
            endpoints = [endpoint for endpoint in endpoints if endpoint.name == only]
        elif not include_limited:
            endpoints = [endpoint for endpoint in endpoints if not self.is_limited(endpoint)]
        candidates = self.candidates(routed, now, endpoints)
        if not candidates:
            return self.no_endpoint(routed, now)
        if routed.service.engine is None:
            return self.place_plain(routed, candidates, now, name)
        if self.is_split(routed):
            return self.place_long(routed, candidates, now, name, resume_after)
        return self.place_short(routed, candidates, now, name, resume_after)

    def is_split(self, routed):
        """Return whether the prompt of a call is long enough to be split over several engines."""
        profile = routed.service.engine
        if profile is None:
            return False
        return prefill_seconds(profile, routed.call.prompt_tokens) > SPLIT_SECONDS

    def no_endpoint(self, routed, now):
        """Return the failure of a call without an endpoint; pauses say when there is one again."""
        service, leaving = routed.service.name, self.notices.leaving
        lifetimes = [endpoint.lifetime for endpoint in self.fleet.usable(service)]
        waits = [self.notices.seconds_paused(e, now) for e in lifetimes if e not in leaving]
        wait = min(waits, default=0.0)
        if not wait:
            return Failure(Reason.NO_ENDPOINT, STEP, detail=service)
        detail = f"all endpoints of {service} asked for a pause"
        return Postponed(Reason.BUSY, STEP, detail=detail, delay=wait)

    def untried_endpoints(self, routed, avoid, now):
        """Return the endpoints that accept calls, except those whose names are in `avoid`."""
        return [
            endpoint
            for endpoint in self.fleet.usable(routed.service.name)
            if endpoint.name not in avoid and self.notices.accepts(endpoint.lifetime, now)
        ]

    def is_limited(self, endpoint):
        """Return whether an endpoint names a limit on the requests that it takes."""
        return self.request_limits.rate(endpoint.lifetime) is not None

    def limited_endpoints(self, routed, avoid, now):
        """Return the untried endpoints that name a limit, the least busy ones first."""
        limited = [e for e in self.untried_endpoints(routed, avoid, now) if self.is_limited(e)]
        return sorted(limited, key=lambda e: self.load_tracker.count_in_flight(e.name))

    def has_free_slot(self, endpoint):
        """Return whether fewer calls are in flight at an endpoint than it has slots."""
        return self.load_tracker.count_in_flight(endpoint.name) < endpoint.slots

    def has_free_endpoint(self, routed, avoid, now):
        """Return whether an untried endpoint without a limit has a free slot."""
        return any(
            self.has_free_slot(endpoint) and not self.is_limited(endpoint)
            for endpoint in self.untried_endpoints(routed, avoid, now)
        )

    def candidates(self, routed, now, endpoints):
        """Return the `Candidate` of each endpoint."""
        return [
            Candidate(
                endpoint,
                self.load_tracker.load_of(endpoint, routed.service, now),
                rank_of(endpoint.name, self.salt),
                self.failure_scores.score(endpoint.name, now),
            )
            for endpoint in endpoints
        ]

    def place_plain(self, routed, candidates, now, name):
        """Choose the endpoint of a plain service, mainly by calls in flight per slot."""
        best = min(candidates, key=self.plain_cost)
        demand = EndpointDemand(best.endpoint.name)
        request = AttemptRequest(best.endpoint, routed.deadline - now)
        return PlacedAttempt(request, InFlightAttempt(name, (demand,)))

    def plain_cost(self, candidate):
        """Return the cost of a call at an endpoint of a plain service, and a tie-breaker."""
        endpoint = candidate.endpoint
        remote = endpoint.data_centre != self.data_centre
        cost = (
            candidate.load.running() / endpoint.slots
            + FAILURE_COST * candidate.failure_score
            + REMOTE_COST * remote
        )
        return cost, candidate.rank

    def place_short(self, routed, candidates, now, name, resume_after):
        """Choose one engine for a prompt that is not split."""
        call = routed.call
        fit = choose_engine(routed, candidates, now, peers_unknown=bool(self.salt))
        first = fit.candidate.endpoint
        demand = generating_demand(
            routed, first, fit.prefill, call.prompt_tokens, expected_memory(call)
        )
        request = engine_request(routed, first, now, resume_after)
        return PlacedAttempt(request, InFlightAttempt(name, (demand,)), fit.expected)

    def place_long(self, routed, candidates, now, name, resume_after):
        """Split a prompt into even parts over several engines."""
        call = routed.call
        memory = expected_memory(call)
        split = best_split(routed, candidates, memory, now)
        share = math.ceil(memory / split.count) if split.spread_memory else 0
        context = call.prompt_tokens // split.count if share else call.prompt_tokens
        first = split.first.endpoint
        demands = [generating_demand(routed, first, split.part, context, share or memory)]
        helpers = []
        for number, candidate in enumerate(split.helpers):
            ticket = f"{name}-{number}" if share else ""
            helpers.append(Helper(candidate.endpoint, ticket))
            demands.append(
                EndpointDemand(candidate.endpoint.name, split.part, 0, share, generates=False)
            )
        request = engine_request(routed, first, now, resume_after, tuple(helpers))
        tickets = tuple((helper, share) for helper in helpers) if share else ()
        return PlacedAttempt(
            request, InFlightAttempt(name, tuple(demands)), split.expected, tickets
        )


def generating_demand(routed, endpoint, prefill, context, memory):
    """Return the demand of a call at the engine that generates its answer."""
    return EndpointDemand(
        endpoint.name,
        prefill,
        context,
        memory,
        max_gap=routed.route.gap_objective * GAP_SHARE,
        max_first_event=routed.route.objective * FIRST_EVENT_SHARE,
        weight=call_weight(routed.call),
    )


def engine_request(routed, endpoint, now, resume_after, helpers=()):
    """Return the `AttemptRequest` of a call to the engine that generates its answer."""
    return AttemptRequest(
        endpoint,
        routed.deadline - now,
        urgency=urgency_of(routed.route),
        helpers=helpers,
        resume_after=resume_after,
    )


def urgency_of(route):
    """Return the urgency of the calls of a route."""
    return HIGH_URGENCY if route.objective <= URGENT_OBJECTIVE else LOW_URGENCY
