"""Where a call goes, and how a long prompt is split over several engines.

Short prompts fill the engines from one end of a fixed order, parts of long prompts from the
other, so that few sequences are being written where long reads stretch the passes.  Answers the
days on which floods of short and of long prompts alternate or meet.
"""

import math

import attrs
import xxhash

from ..failures import Failure, Reason
from .engine_model import read_seconds
from .loads import Flight, Piece
from .messages import Helper, Sending

STEP = "place"

PART_SECONDS = 0.08
"""Reading time of one part of a split prompt, if there are engines enough."""

SPLIT_SECONDS = 0.12
"""Reading time of a prompt from which it is split."""

MOST_HELPERS = 16
"""Engines that may help the first one."""

OBJECTIVE_SHARE = 0.7
"""Share of the latency objective that a predicted first event may use."""

GAP_SHARE = 0.8
"""Share of the longest pause that a predicted pass may use."""

ANSWER_SHARE = 0.6
"""Expected output as a share of the most that the caller asks for."""

TICKET_SHARE = 0.9
"""Share of an engine's free memory over which a prompt's memory is spread by tickets."""

FIRST_URGENCY = 3
LATER_URGENCY = 5
"""Urgency of calls below and above `URGENT_OBJECTIVE`; a lower one is admitted first."""

URGENT_OBJECTIVE = 0.5
"""Latency objective, in seconds, up to which a call is urgent."""

TROUBLE_WEIGHT = 1.0
"""Seconds of predicted latency that a full trouble score counts as."""


@attrs.frozen
class Placed:
    """Where an attempt goes; `first_event` is the predicted time to it in seconds.

    `tickets` are the tokens to be reserved at each helper by the name of its ticket.
    """

    sending: Sending
    flight: Flight
    first_event: float = 0.0
    tickets: tuple[tuple[Helper, int], ...] = ()


@attrs.define
class Candidate:
    """An endpoint that a call could go to."""

    endpoint: object
    load: object
    rank: float
    trouble: float


def rank_of(name):
    """Return the endpoint's place in the fixed order, from 0 to 1."""
    return xxhash.xxh3_64_intdigest(name.encode()) / 2**64


def memory_of(call):
    """Return the tokens of memory that a call is expected to need.

    The caller's own estimate counts when it gives one; it is often too low, so that half as
    much again is added.
    """
    answer = math.ceil(call.answer_hint * 1.5) if call.answer_hint else call.most_tokens
    return call.prompt_tokens + min(call.most_tokens, max(answer, 1))


@attrs.define
class Placer:
    """Chooses endpoints from the fleet, what is in flight, and what went wrong lately."""

    fleet: object
    book: object
    troubles: object

    def place(self, routed, now, name, avoid=frozenset(), resume_after=-1):
        """Return `Placed` for the attempt `name`, or a `Failure`."""
        candidates = self.candidates(routed, now, avoid)
        if not candidates:
            return Failure(Reason.NO_ENDPOINT, STEP, detail=routed.service.name)
        if routed.service.engine is None:
            return self.place_plain(routed, candidates, now, name)
        if read_seconds(routed.service.engine, routed.call.prompt_tokens) > SPLIT_SECONDS:
            return self.place_long(routed, candidates, now, name, resume_after)
        return self.place_short(routed, candidates, now, name, resume_after)

    def candidates(self, routed, now, avoid):
        """Return the usable endpoints, those of `avoid` only where there are no others."""
        usable = self.fleet.usable(routed.service.name)
        fresh = [endpoint for endpoint in usable if endpoint.name not in avoid]
        return [
            Candidate(
                endpoint,
                self.book.of(endpoint, routed.service, now),
                rank_of(endpoint.name),
                self.troubles.score(endpoint.name, now),
            )
            for endpoint in fresh
        ]

    def place_plain(self, routed, candidates, now, name):
        """Choose the endpoint of a plain service with the least in flight for its slots."""
        best = min(
            candidates,
            key=lambda c: (c.load.running() / c.endpoint.slots + 2 * c.trouble, c.rank),
        )
        piece = Piece(best.endpoint.name)
        sending = Sending(best.endpoint, routed.deadline - now)
        return Placed(sending, Flight(name, (piece,)))

    def place_short(self, routed, candidates, now, name, resume_after):
        """Choose one engine: the first in order that keeps its promises, else the quickest."""
        call, route = routed.call, routed.route
        read = read_seconds(routed.service.engine, call.prompt_tokens)
        memory = memory_of(call)
        allowed = OBJECTIVE_SHARE * route.objective
        best = None
        for candidate in sorted(candidates, key=lambda c: c.rank):
            load = candidate.load
            expected = load.first_event(read, call.prompt_tokens, now)
            full = load.running() >= routed.service.engine.slots
            room = load.room(route.gap_objective * GAP_SHARE)
            strained = max(0.0, read - room)
            short_memory = load.free_memory() < memory
            kept = expected <= allowed and not strained and not full and not short_memory
            if kept and candidate.trouble < 0.1:
                best = (candidate, expected)
                break
            cost = (
                expected
                + strained
                + TROUBLE_WEIGHT * candidate.trouble
                + (1.0 if full else 0.0)
                + (1.0 if short_memory else 0.0)
            )
            if best is None or cost < best[2]:
                best = (candidate, expected, cost)
        candidate, expected = best[:2]
        piece = Piece(
            candidate.endpoint.name,
            read,
            call.prompt_tokens,
            memory,
            gap=route.gap_objective * GAP_SHARE,
        )
        sending = Sending(
            candidate.endpoint,
            routed.deadline - now,
            urgency=urgency_of(route),
            resume_after=resume_after,
        )
        return Placed(sending, Flight(name, (piece,)), expected)

    def place_long(self, routed, candidates, now, name, resume_after):
        """Split a prompt into even parts over the engines that suffer least from them."""
        call, route, figures = routed.call, routed.route, routed.service.engine
        total = read_seconds(figures, call.prompt_tokens)
        most = min(len(candidates), MOST_HELPERS + 1)
        wanted = min(most, math.ceil(total / PART_SECONDS))
        ranked = sorted(candidates, key=lambda c: self.part_cost(c, total / wanted, now))
        chosen = ranked[:wanted]
        memory = memory_of(call)
        first = min(chosen, key=lambda c: self.first_cost(c, memory, route))
        helpers = [candidate for candidate in chosen if candidate is not first]
        part = total / wanted
        expected = max(c.load.first_event(part, 0, now) for c in chosen)
        shares = self.shares(first, helpers, memory)
        pieces = [
            Piece(
                first.endpoint.name,
                part,
                call.prompt_tokens // wanted if shares else call.prompt_tokens,
                memory - sum(shares.values()),
                gap=route.gap_objective * GAP_SHARE,
            )
        ]
        placed = []
        tickets = []
        for helper in helpers:
            share = shares.get(helper.endpoint.name, 0)
            ticket = f"{name}-{len(placed)}" if share else ""
            placed.append(Helper(helper.endpoint, ticket))
            if share:
                tickets.append((placed[-1], share))
            pieces.append(Piece(helper.endpoint.name, part, 0, share, writes=False))
        sending = Sending(
            first.endpoint,
            routed.deadline - now,
            urgency=urgency_of(route),
            helpers=tuple(placed),
            resume_after=resume_after,
        )
        return Placed(sending, Flight(name, tuple(pieces)), expected, tuple(tickets))

    def part_cost(self, candidate, part, now):
        """Return the cost in seconds of reading a part at an engine."""
        load = candidate.load
        strained = max(0.0, part - load.room())
        wait = max(0.0, load.busy_until - now) + load.pending()
        crowd = 0.02 * load.running()
        return (
            wait
            + crowd
            + 4 * strained
            + TROUBLE_WEIGHT * candidate.trouble
            - 0.01 * candidate.rank
        )

    def first_cost(self, candidate, memory, route):
        """Return the cost of writing a long prompt's answer at an engine."""
        short = max(0, memory - candidate.load.free_memory())
        full = candidate.load.running() >= candidate.load.figures.slots
        return (full, short, candidate.load.running(), -candidate.rank)

    def shares(self, first, helpers, memory):
        """Return the tokens to reserve at each helper, by name; none if the first has room."""
        if first.load.free_memory() >= memory:
            return {}
        share = math.ceil(memory / (len(helpers) + 1))
        return {helper.endpoint.name: share for helper in helpers}


def urgency_of(route):
    """Return the urgency of a route's calls at the engine."""
    return FIRST_URGENCY if route.objective <= URGENT_OBJECTIVE else LATER_URGENCY
