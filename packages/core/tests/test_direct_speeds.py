"""What callers get where endpoints differ in speed."""

import attrs
import pytest

from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt

from .delayed_fleet import EVENTS, SHORTEST_PASS_SECONDS, DelayedFleet
from .direct_parts import LLM, LONG, SHORT, make_placer, routed
from .test_direct_paces import SLOWDOWN, record_gaps

LONG_TOKENS = 133_000


def place_long(placer, now):
    """Place a long prompt; return the attempt and the names of the engines that it uses."""
    placed = placer.place(routed(LONG, tokens=LONG_TOKENS, max_output_tokens=700), now, "f")
    return placed, [demand.endpoint for demand in placed.attempt.demands]


@pytest.mark.parametrize("engines", [17, 23, 45])
def test_one_slow_engine_does_not_hold_up_a_split_prompt(engines):
    """The prompt was split over four engines, the slow one among them."""
    placer = make_placer(engines)
    usual, names = place_long(placer, 0.0)
    slow = names[len(names) // 2]
    record_gaps(placer, slow, SLOWDOWN, 0.0)
    placed, names = place_long(placer, 0.1)
    assert slow not in names
    assert len(names) >= 16
    assert placed.predicted_first_event <= 17 / 16 * usual.predicted_first_event


def test_prompt_is_split_over_all_engines_if_all_are_slow():
    placer = make_placer(17)
    for name in placer.fleet.endpoints:
        record_gaps(placer, name, SLOWDOWN, 0.0)
    _, names = place_long(placer, 0.1)
    assert len(names) == 17


def test_slow_engine_does_not_generate_where_a_normal_one_can():
    placer = make_placer(2)
    for name in placer.fleet.endpoints:
        placer = make_placer(2)
        record_gaps(placer, name, SLOWDOWN, 0.0)
        placed, _ = place_long(placer, 0.1)
        assert placed.request.endpoint.name != name


SMALL_ENGINES = attrs.evolve(LLM, engine=attrs.evolve(LLM.engine, slots=6))


def test_engine_that_was_slow_a_while_ago_generates_rather_than_a_crowded_one():
    """What is left of a report must not send a long answer to the engine with most streams."""
    placer = make_placer(2)
    for number in range(3):
        demand = EndpointDemand("e0", 0.01, 1000, 2000)
        attempt = InFlightAttempt(f"s{number}", (demand,), started=True)
        placer.load_tracker.begin(attempt, 0.0)
    placer.load_tracker.slowdowns.merge_remote([("e1", SLOWDOWN)], 0.0)
    placed, _ = place_long(placer, 3.0)
    assert placer.load_tracker.slowdowns.slowdown("e1", 3.0) > 1.0
    assert placed.request.endpoint.name == "e1"


@attrs.define
class TrueSpeeds:
    """How many times slower engines really are: pairs of (start, end) by name."""

    slow: dict = attrs.field(factory=dict)

    def slowdown(self, name, now):
        """Return the slowdown of an engine."""
        start, end = self.slow.get(name, (0.0, 0.0))
        return SLOWDOWN if start <= now < end else 1.0


class UnevenFleet(DelayedFleet):
    """Engines that are slow at times, and entries that see the gaps of their streams.

    `late_streams` counts the short calls by whether a gap was longer than their callers accept.
    """

    def __init__(self, engines, slow, lag=0.05, seed=1):
        super().__init__(engines, lag, slots=6, seed=seed)
        self.truth.slowdowns = TrueSpeeds(slow)
        self.streams = self.late_streams = 0

    def pass_seconds(self, endpoint, now):
        """Return the duration of a pass of an engine that generates."""
        return SHORTEST_PASS_SECONDS * self.truth.slowdowns.slowdown(endpoint.name, now)

    def place(self, call, now, placer=None):
        """Place a call and let its entry see the gaps of its stream."""
        placed = super().place(call, now, placer)
        first = placed.request.endpoint
        gaps = [self.pass_seconds(first, now)]
        at = now + self.outcomes[call.route.name].first_events[-1]
        for _ in range(EVENTS):
            gaps.append(self.pass_seconds(first, at))
            at += gaps[-1]
            self.schedule(at + self.lag, lambda at, gap=gaps[-1]: self.see_gap(first, gap, at))
        self.streams += 1
        self.late_streams += max(gaps) > call.route.gap_objective
        return placed

    def see_gap(self, endpoint, seconds, now):
        """Let the entries see a gap of a stream."""
        tracker = self.placer.load_tracker
        load = tracker.load_of(endpoint, SMALL_ENGINES, now)
        usual = SHORTEST_PASS_SECONDS / load.expected_gap()
        tracker.record_gap(endpoint.name, seconds / usual, 1, now)

    def short_calls(self, rate, start, end):
        """Return short calls at a rate."""
        return [(at, routed(SHORT, SMALL_ENGINES)) for at in self.arrivals(rate, start, end)]

    def long_calls(self, rate, start, end):
        """Return long calls at a rate."""
        call = routed(LONG, SMALL_ENGINES, tokens=LONG_TOKENS, max_output_tokens=700)
        return [(at, call) for at in self.arrivals(rate, start, end)]


SLOW_FROM, SLOW_UNTIL = 1.0, 7.0
"""Time in seconds for which engines are slow."""


@pytest.mark.parametrize("slow", [1, 4])
def test_engines_that_are_slow_for_six_seconds_make_few_calls_late(slow):
    """The engines that short prompts fill first are 5 times slower."""
    fleet = UnevenFleet(45, {})
    order = fleet.placer.ranked_endpoints("llm", near_first=True)
    slow_names = [each.name for each in order[:slow]]
    fleet.truth.slowdowns.slow = dict.fromkeys(slow_names, (SLOW_FROM, SLOW_UNTIL))
    fleet.play(fleet.short_calls(40, 0.0, 8.0))
    assert fleet.late_streams / fleet.streams <= 0.1
    assert fleet.outcomes["short"].late_share <= 0.05
    fleet.play(fleet.short_calls(40, 8.0, 10.0))
    assert all(fleet.placer.load_tracker.count_in_flight(name) for name in slow_names)
