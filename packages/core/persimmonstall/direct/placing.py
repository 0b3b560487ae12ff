"""Chooses the endpoint of a call, and splits a long prompt over several engines.

Short prompts fill the engines from one end of a fixed order, parts of long prompts from the
other, so that few sequences are generating where long prefills lengthen the passes.  This keeps
latencies low when bursts of short and of long prompts alternate or overlap.  Where data centres
have delays, short prompts fill the engines of their own data centre sooner than those of others.
"""

import math
import random

import attrs

from ..failures import Failure, Postponed, Reason
from .candidates import Candidate, RankedCandidates, rank_of
from .cold import COLD_LOAD, COLD_SECONDS, ColdEndpoints
from .distance import Distances
from .eligibility import Eligibility
from .engine_model import prefill_seconds
from .loads import EndpointDemand, InFlightAttempt
from .messages import AttemptRequest, Helper
from .notices import EndpointNotices
from .packing import GAP_SHARE, choose_engine
from .sizes import call_weight, expected_memory
from .splitting import best_split
from .spreading import choose_spread
from .unseen import WorkKind
from .urgency import urgency_of

STEP = "place"

SPLIT_SECONDS = 0.12
"""Prefill time of a prompt above which it is split."""

FIRST_EVENT_SHARE = 0.9
"""Share of the latency objective within which the first event should be sent."""

FAILURE_COST = 2.0
"""Cost of a failure score of 1 at a plain service; 1.0 is the load of a full endpoint."""

REMOTE_COST = 0.1
"""Cost of an endpoint in another data centre, in the same unit."""

REMOTE_RANKS = 0.65
"""By how much an engine in another data centre is ranked later for short prompts: two thirds of
the near engines come before the first of the others."""


@attrs.frozen
class PlacedAttempt:
    """Where an attempt is sent; `predicted_first_event` is in seconds from now.

    `tickets` holds (helper, tokens) pairs: the memory to reserve at each helper, under its ticket.
    `permitted` are the names of the cold endpoints to which it may be sent, until the time
    `permitted_until`.
    """

    request: AttemptRequest
    attempt: InFlightAttempt
    predicted_first_event: float = 0.0
    tickets: tuple[tuple[Helper, int], ...] = ()
    permitted: frozenset = frozenset()
    permitted_until: float = 0.0

    @property
    def endpoints(self):
        """All endpoints that take part: the one that is called, and its helpers."""
        return self.request.endpoint, *(helper.endpoint for helper in self.request.helpers)


@attrs.define
class Placer:
    """Chooses endpoints by the fleet, its notices, the attempts in flight and recent failures.

    All entries rank engines in the same order.  An entry that does not know the attempts of the
    others yet uses a `salt`, which gives it an order of its own.  `data_centre` is the entry's.
    Where other entries place calls that are not known yet, `random` spreads the choice.
    `distances` are those between data centres.
    """

    fleet: object
    load_tracker: object
    failure_scores: object
    request_limits: object
    notices: EndpointNotices = attrs.field(factory=EndpointNotices)
    salt: str = ""
    data_centre: str = ""
    random: object = attrs.field(factory=lambda: random.Random(0))
    ranked: dict = attrs.field(factory=dict)
    ranked_as_of: tuple = ()
    eligibility: Eligibility = None
    cold: ColdEndpoints = attrs.field(factory=ColdEndpoints)
    distances: Distances = attrs.field(factory=Distances)

    def __attrs_post_init__(self):
        if self.eligibility is None:
            self.eligibility = Eligibility(self.fleet, self.notices)

    def use_distances(self, distances):
        """Use other distances between data centres."""
        self.distances = distances
        self.ranked.clear()

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
        elif not include_limited and self.request_limits.limits:
            endpoints = [endpoint for endpoint in endpoints if not self.is_limited(endpoint)]
        if not endpoints:
            return self.no_endpoint(routed, now)
        if routed.service.engine is None:
            return self.place_plain(routed, endpoints, now, name)
        if self.is_split(routed):
            return self.place_long(routed, endpoints, now, name, resume_after)
        return self.place_short(routed, endpoints, now, name, resume_after)

    def is_split(self, routed):
        """Return whether the prompt of a call is long enough to be split over several engines."""
        profile = routed.service.engine
        if profile is None:
            return False
        return prefill_seconds(profile, routed.call.prompt_tokens) > SPLIT_SECONDS

    def no_endpoint(self, routed, now):
        """Return the failure of a call without an endpoint, with the time to ask again, if any."""
        service, leaving = routed.service.name, self.notices.leaving
        usable = self.fleet.usable(service)
        evacuations = self.eligibility.evacuations
        if usable and all(map(evacuations.covers, usable)):
            wait = evacuations.retry_seconds({each.data_centre for each in usable}, now)
            detail = f"all data centres with endpoints of {service} are evacuated"
            return Postponed(Reason.NO_ENDPOINT, STEP, detail=detail, delay=wait)
        lifetimes = [each.lifetime for each in usable if not evacuations.covers(each)]
        waits = [self.notices.seconds_paused(e, now) for e in lifetimes if e not in leaving]
        wait = min(waits, default=0.0)
        if not wait:
            return Failure(Reason.NO_ENDPOINT, STEP, detail=service)
        detail = f"all endpoints of {service} asked for a pause"
        return Postponed(Reason.BUSY, STEP, detail=detail, delay=wait)

    def ranked_endpoints(self, service, near_first=False):
        """Return the endpoints of a service that accept calls, in rank order.

        With `near_first`, those in other data centres come later.
        """
        as_of = (self.fleet.generation, self.salt)
        if self.ranked_as_of != as_of:
            self.ranked.clear()
            self.ranked_as_of = as_of
        endpoints = self.ranked.get((service, near_first))
        if endpoints is None:
            endpoints = self.fleet.usable(service)
            endpoints.sort(key=self.near_rank if near_first else self.rank)
            self.ranked[service, near_first] = endpoints
        return endpoints

    def rank(self, endpoint):
        """Return the rank of an endpoint, the same at all entries."""
        return rank_of(endpoint.name, self.salt)

    def near_rank(self, endpoint):
        """Return the rank of an endpoint for entries in this data centre."""
        remote = self.distances.between(self.data_centre, endpoint.data_centre) > 0.0
        return self.rank(endpoint) + REMOTE_RANKS * remote

    def untried_endpoints(self, routed, avoid, now):
        """Return the endpoints that accept calls, except those whose names are in `avoid`.

        They come in rank order, near ones first unless the prompt is split.
        """
        near_first = not self.is_split(routed)
        endpoints = self.ranked_endpoints(routed.service.name, near_first)
        return self.eligibility.select(endpoints, avoid, now)

    def is_limited(self, endpoint):
        """Return whether an endpoint names a limit on the requests that it takes."""
        return self.request_limits.rate(endpoint.lifetime) is not None

    def limited_endpoints(self, routed, avoid, now):
        """Return the untried endpoints that name a limit, the least busy ones first."""
        if not self.request_limits.limits:
            return []
        limited = [e for e in self.untried_endpoints(routed, avoid, now) if self.is_limited(e)]
        return sorted(limited, key=lambda e: self.load_tracker.count_in_flight(e.name))

    def cold_names(self, routed, now):
        """Return the names of the cold endpoints of a call's service."""
        if not self.cold.lifetimes:
            return frozenset()
        endpoints = self.ranked_endpoints(routed.service.name)
        return frozenset(each.name for each in endpoints if self.cold.is_cold(each, now))

    def has_free_slot(self, endpoint):
        """Return whether fewer calls are in flight at an endpoint than it has slots."""
        return self.load_tracker.count_in_flight(endpoint.name) < endpoint.slots

    def has_free_endpoint(self, routed, avoid, now):
        """Return whether an untried endpoint without a limit has a free slot."""
        return any(
            self.has_free_slot(endpoint) and not self.is_limited(endpoint)
            for endpoint in self.untried_endpoints(routed, avoid, now)
        )

    def candidate(self, routed, endpoint, now):
        """Return an endpoint as a `Candidate`, with its load as of `now`."""
        way = self.seconds_of_way(routed, endpoint)
        cold = COLD_SECONDS if self.cold.is_cold(endpoint, now) else 0.0
        return Candidate(
            endpoint,
            self.load_tracker.load_of(endpoint, routed.service, now),
            self.rank(endpoint),
            self.failure_scores.score(endpoint.name, now),
            surcharge=way + cold,
            way=way,
        )

    def seconds_of_way(self, routed, endpoint):
        """Return the seconds that the way to an endpoint adds to a call's first event."""
        return self.distances.seconds_of_call(
            self.data_centre, endpoint.data_centre, len(routed.call.body)
        )

    def unseen(self, kind, now):
        """Return the expected number of calls or parts that other entries place unseen."""
        return self.load_tracker.count_unseen(kind, now)

    def place_plain(self, routed, endpoints, now, name):
        """Choose the endpoint of a plain service, mainly by calls in flight per slot."""
        costs = {
            endpoint: self.plain_cost(self.candidate(routed, endpoint, now))
            + COLD_LOAD * self.cold.is_cold(endpoint, now)
            for endpoint in endpoints
        }
        volume = self.unseen(WorkKind.PLAIN, now) / min(each.slots for each in endpoints)
        best = choose_spread(endpoints, costs.get, volume, self.random)
        demand = EndpointDemand(best.name)
        request = AttemptRequest(best, routed.deadline - now)
        return PlacedAttempt(request, InFlightAttempt(name, (demand,)))

    def plain_cost(self, candidate):
        """Return the cost of a call at an endpoint of a plain service."""
        endpoint = candidate.endpoint
        remote = endpoint.data_centre != self.data_centre
        return (
            candidate.load.running() / endpoint.slots
            + FAILURE_COST * candidate.failure_score
            + REMOTE_COST * remote
        )

    def place_short(self, routed, endpoints, now, name, resume_after):
        """Choose one engine for a prompt that is not split."""
        call = routed.call
        fit = choose_engine(
            routed,
            RankedCandidates(self, routed, endpoints, now),
            now,
            self.random,
            peers_unknown=bool(self.salt),
            unseen=self.unseen(WorkKind.SHORT, now),
        )
        first = fit.candidate.endpoint
        demand = generating_demand(
            routed, first, fit.prefill, call.prompt_tokens, expected_memory(call)
        )
        request = engine_request(routed, first, now, resume_after)
        return PlacedAttempt(request, InFlightAttempt(name, (demand,)), fit.expected)

    def place_long(self, routed, endpoints, now, name, resume_after):
        """Split a prompt into even parts over several engines."""
        call = routed.call
        memory = expected_memory(call)
        candidates = RankedCandidates(self, routed, endpoints, now)
        unseen = self.unseen(WorkKind.PART, now)
        split = best_split(routed, candidates, memory, now, self.random, unseen)
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
        urgency=urgency_of(routed),
        helpers=helpers,
        resume_after=resume_after,
    )
