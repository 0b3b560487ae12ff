"""Engines that play out their passes, for entries that see each other's calls late."""

import collections
import heapq
import itertools
import random

import attrs

from persimmonstall.direct.engine_model import PREFILL_ONLY_STEPS

from .direct_parts import make_placer

USUAL_EVENTS = 35
"""Events of an answer; each one takes a pass of its engine."""


@attrs.define(eq=False)
class PlayedCall:
    """A call as its caller sees it; `parts` counts the parts that are still to be prefilled."""

    routed: object
    name: str
    asked: float
    events: int = USUAL_EVENTS
    urgency: int = 5
    prefill: float = 0.0
    context: int = 0
    parts: int = 1
    placed_at: float | None = None
    first_event: float | None = None
    last_event: float = 0.0
    longest_gap: float = 0.0
    ended: float | None = None
    admitted: float = 0.0
    refusals: int = 0
    retry_after: list = attrs.field(factory=list)

    @property
    def in_time(self):
        """Whether first event and gaps met the objectives of the route."""
        route = self.routed.route
        if self.ended is None or self.first_event - self.asked > route.objective:
            return False
        return self.longest_gap <= route.gap_objective

    @property
    def organisation(self):
        """Name of the caller's organisation, empty if it has none."""
        return self.routed.organisation.name if self.routed.organisation else ""


class PlayedEngine:
    """An engine with slots, a queue by urgency, and passes as in its profile."""

    def __init__(self, profile, fleet):
        self.profile = profile
        self.fleet = fleet
        self.queue = []
        self.running = []
        self.prefills = []
        self.in_pass = False

    def send(self, call, now):
        """Queue a call until there is a slot."""
        heapq.heappush(self.queue, (call.urgency, next(self.fleet.numbers), call))
        self.start_pass(now)

    def add_part(self, call, seconds, now):
        """Prefill a part for another engine, before the engine's own prompts."""
        parts = sum(1 for _, _, own in self.prefills if not own)
        self.prefills.insert(parts, [call, seconds, False])
        self.start_pass(now)

    def start_pass(self, now):
        """Give slots to queued calls, and choose the prefills of the next pass."""
        if self.in_pass:
            return
        while self.queue and len(self.running) < self.profile.slots:
            call = heapq.heappop(self.queue)[2]
            self.running.append(call)
            self.prefills.append([call, call.prefill, True])
        if not self.running and not self.prefills:
            return
        waiting = {id(call) for call, _, own in self.prefills if own}
        writers = [each for each in self.running if id(each) not in waiting and not each.parts]
        profile = self.profile
        steps = profile.stride if writers else PREFILL_ONLY_STEPS
        budget, taken = steps * profile.chunk * profile.token_read, []
        for item in self.prefills:
            part = min(item[1], budget)
            item[1] -= part
            budget -= part
            taken.append(part)
        contexts = sum(each.context for each in writers) * profile.per_context
        step = profile.step + len(writers) * profile.per_sequence + contexts
        duration = (profile.stride if writers else 1) * step + sum(taken)
        self.in_pass = True
        self.fleet.schedule(now + duration, lambda at: self.finish_pass(writers, at))

    def finish_pass(self, writers, now):
        """Send the events of the pass; prompts that are read begin to generate."""
        self.in_pass = False
        done = [item for item in self.prefills if item[1] <= 1e-9]
        self.prefills = [item for item in self.prefills if item[1] > 1e-9]
        for call, _, _ in done:
            call.parts -= 1
        for call in writers:
            self.send_event(call, now)
        self.start_pass(now)

    def send_event(self, call, now):
        """Send an event of an answer; the last one ends it."""
        if call.first_event is None:
            call.first_event = now
            self.fleet.started(call, now)
        else:
            call.longest_gap = max(call.longest_gap, now - call.last_event)
        call.last_event = now
        call.events -= 1
        if not call.events:
            self.running.remove(call)
            call.ended = now
            self.fleet.ended(call, now)


class ContendedFleet:
    """Engines, and entries of which none sees a call before it is `lag` seconds old."""

    def __init__(self, engines, lag, profile, seed=1):
        self.lag = lag
        self.profile = profile
        self.random = random.Random(seed)
        self.placer = make_placer(engines, slots=profile.slots)
        self.placer.random = self.random
        self.placer.load_tracker.unseen.record_delay(lag)
        self.engines = {name: PlayedEngine(profile, self) for name in self.placer.fleet.endpoints}
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.calls = []

    def schedule(self, at, action):
        """Run `action` at the time `at`."""
        heapq.heappush(self.events, (at, next(self.numbers), action))

    def run(self, until):
        """Run what is due until then."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action(self.now)

    def ask(self, at, routed, events=USUAL_EVENTS):
        """Let a caller ask at the time `at`."""
        call = PlayedCall(routed, f"f{next(self.numbers)}", at, events)
        self.calls.append(call)
        self.schedule(at, lambda now: self.arrive(call, now))
        return call

    def arrive(self, call, now):
        """Place a call at once."""
        self.place(call, now)

    def place(self, call, now):
        """Place a call, and let the entries see it later."""
        placed = self.placer.place(call.routed, now, call.name)
        first, *others = placed.attempt.demands
        call.placed_at = now
        call.urgency = placed.request.urgency
        call.prefill, call.context = first.prefill, first.context
        call.parts = 1 + len(others)
        for demand in others:
            self.engines[demand.endpoint].add_part(call, demand.prefill, now)
        self.engines[first.endpoint].send(call, now)
        self.see((placed.attempt,), (), now)

    def lose_engines(self, count):
        """End some engines in a moment; the entries hear of it at once, their calls are lost."""
        fleet, tracker = self.placer.fleet, self.placer.load_tracker
        for endpoint in fleet.usable("llm")[:count]:
            fleet.drop(endpoint.name, self.now)
            self.engines.pop(endpoint.name)
        for name, attempt in list(tracker.attempts.items()):
            if any(demand.endpoint not in self.engines for demand in attempt.demands):
                tracker.end(name, "others")
        tracker.forget(fleet.endpoints)

    def started(self, call, now):
        """Let the entries see that an answer began."""
        attempt = self.placer.load_tracker.attempts.get(call.name)
        if attempt is not None:
            self.see((attrs.evolve(attempt, started=True),), (), now)

    def ended(self, call, now):
        """Let the entries see that an answer ended."""
        self.see((), (call.name,), now)

    def see(self, attempts, ended, now):
        """Let the entries see a change once they hear of it."""
        merge = self.placer.load_tracker.merge_remote_changes
        self.schedule(now + self.lag, lambda at: merge("others", attempts, ended, at))

    def arrivals(self, rate, start, end):
        """Return random times of `rate` arrivals a second."""
        at, times = start, []
        while (at := at + self.random.expovariate(rate)) < end:
            times.append(at)
        return times

    def in_time_shares(self, key):
        """Return the share of calls in time by `key(call)`."""
        total, good = collections.Counter(), collections.Counter()
        for call in self.calls:
            total[key(call)] += 1
            good[key(call)] += call.in_time
        return {name: good[name] / total[name] for name in total}
