"""A fleet whose entries all see each other's calls late, played on virtual time."""

import heapq
import itertools
import random

import attrs

from persimmonstall.direct.loads import LoadTracker

from .direct_parts import make_placer

EVENTS = 23
"""Events of an answer; each one takes a pass of its engine."""

SHORTEST_PASS_SECONDS = 0.07
"""Duration of the pass of an engine with few sequences and short contexts."""


@attrs.define
class Outcome:
    """What became of the calls: how many, how many late, how many at an engine that was full."""

    calls: int = 0
    late: int = 0
    at_full_engine: int = 0
    first_events: list = attrs.field(factory=list)

    def record(self, expected, objective, full):
        """Record a call whose first event is expected after `expected` seconds."""
        self.calls += 1
        self.late += expected > objective
        self.at_full_engine += full
        self.first_events.append(expected)

    @property
    def late_share(self):
        """Share of the calls that are late."""
        return self.late / self.calls

    @property
    def full_share(self):
        """Share of the calls that were sent to an engine without a free slot."""
        return self.at_full_engine / self.calls


class DelayedFleet:
    """Engines, and entries of which none sees a call before it is `lag` seconds old.

    That is what an entry sees of the others where they are so many that its own calls count
    little.  `truth` is the load of the engines as it is.
    """

    def __init__(self, engines, lag, slots=5, seed=1):
        self.lag = lag
        self.random = random.Random(seed)
        self.placer = make_placer(engines, slots=slots)
        self.placer.random = self.random
        self.placer.load_tracker.unseen.record_delay(lag)
        self.truth = LoadTracker()
        self.events = []
        self.numbers = itertools.count()
        self.outcomes = {}

    def schedule(self, at, action):
        """Run `action` at the time `at`."""
        heapq.heappush(self.events, (at, next(self.numbers), action))

    def advance(self, now):
        """Run what is due."""
        while self.events and self.events[0][0] <= now:
            at, _, action = heapq.heappop(self.events)
            action(at)

    def place(self, call, now, placer=None):
        """Place a call, and end it when its answer is complete; return where it was placed."""
        self.advance(now)
        name = f"f{next(self.numbers)}"
        placer = placer or self.placer
        placed = placer.place(call, now, name)
        attempt, profile = placed.attempt, call.service.engine
        first = self.placer.fleet.endpoints[attempt.demands[0].endpoint]
        full = self.truth.load_of(first, call.service, now).running() >= profile.slots
        for demand in attempt.demands[1:]:
            self.truth.load_of(self.placer.fleet.endpoints[demand.endpoint], call.service, now)
        self.truth.begin(attempt, now)
        expected = self.way(placer, first, call) + max(
            self.truth.loads[demand.endpoint].predict_first_event(0.0, now)
            for demand in attempt.demands
        )
        outcome = self.outcomes.setdefault(call.route.name, Outcome())
        outcome.record(expected, call.route.objective, full)
        end = now + expected + EVENTS * self.pass_seconds(first, now)
        self.schedule(end, lambda at: self.truth.end(name))
        self.schedule(now + self.lag, lambda at: self.see(at, (attempt,), ()))
        self.schedule(end + self.lag, lambda at: self.see(at, (), (name,)))
        return placed

    def pass_seconds(self, _endpoint, _now):
        """Return the usual duration of a pass of an engine that generates."""
        return SHORTEST_PASS_SECONDS

    def way(self, placer, endpoint, call):
        """Return the seconds that the way to an endpoint takes."""
        return placer.distances.seconds_of_call(
            placer.data_centre, endpoint.data_centre, len(call.call.body)
        )

    def see(self, now, attempts, ended):
        """Let the entries see what began and ended."""
        self.placer.load_tracker.merge_remote_changes("others", attempts, ended, now)

    def play(self, calls):
        """Place `calls`, pairs of a time and a `RoutedCall`, in order; return the outcomes."""
        for at, call in sorted(calls, key=lambda pair: pair[0]):
            self.place(call, at)
        return self.outcomes

    def arrivals(self, rate, start, end):
        """Return random times of `rate` arrivals a second."""
        at, times = start, []
        while (at := at + self.random.expovariate(rate)) < end:
            times.append(at)
        return times
