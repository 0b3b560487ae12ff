"""What callers get where the entries see each other's calls late, by fleet size and lag."""

import attrs
import pytest

from persimmonstall.direct.spreading import choose_spread
from persimmonstall.direct.unseen import UnseenWork, WorkKind

from .delayed_fleet import DelayedFleet
from .direct_parts import LLM, LONG, SHORT, make_placer, routed

SMALL_ENGINES = attrs.evolve(LLM, engine=attrs.evolve(LLM.engine, slots=5))
SUMMARY = attrs.evolve(SHORT, objective=0.4)
DRAFT = attrs.evolve(LONG, objective=3.0)


def short_calls(fleet, rate, start=0.0, end=3.0):
    return [(at, routed(SUMMARY, SMALL_ENGINES)) for at in fleet.arrivals(rate, start, end)]


def long_calls(fleet, rate, start=0.0, end=3.0):
    return [
        (at, routed(DRAFT, SMALL_ENGINES, tokens=190_000, max_output_tokens=700))
        for at in fleet.arrivals(rate, start, end)
    ]


@pytest.mark.parametrize("lag", [0.03, 0.1, 0.3])
@pytest.mark.parametrize(("engines", "rate"), [(78, 136), (195, 341), (600, 1050)])
def test_short_prompts_do_not_pile_up_on_engines_that_look_free(engines, rate, lag):
    """All entries chose the engine that looked free, until they heard of each other's calls."""
    fleet = DelayedFleet(engines, lag)
    fleet.play(short_calls(fleet, rate / 2.5, 0.0, 2.0))
    fleet.outcomes.clear()
    outcome = fleet.play(short_calls(fleet, rate, 2.0, 5.0))["short"]
    assert outcome.late_share <= 0.02
    assert outcome.full_share <= 0.1


@pytest.mark.parametrize("lag", [0.03, 0.1])
def test_floods_of_short_and_of_long_prompts_by_turns_keep_their_objectives(lag):
    fleet = DelayedFleet(195, lag)
    fleet.play(short_calls(fleet, 138, 0.0, 2.0) + long_calls(fleet, 5, 0.0, 2.0))
    fleet.outcomes.clear()
    calls = []
    for start in (2.0, 6.0):
        calls += short_calls(fleet, 345, start, start + 2) + long_calls(fleet, 2, start, start + 2)
        calls += short_calls(fleet, 50, start + 2, start + 4)
        calls += long_calls(fleet, 15, start + 2, start + 4)
    outcomes = fleet.play(calls)
    assert outcomes["short"].late_share <= 0.03
    assert outcomes["long"].late_share <= 0.03


def test_views_of_no_age_keep_the_order_that_all_entries_share():
    """The choice is spread only as far as calls are placed unseen.

    While a datagram is on its way one slot stays free; nobody else places calls at `single`.
    """
    fleet, single = DelayedFleet(78, 0.0), make_placer(78, slots=5)
    for number in range(40):
        now = number * 0.01
        fleet.place(routed(SUMMARY, SMALL_ENGINES), now)
        placed = single.place(routed(SUMMARY, SMALL_ENGINES), now, f"f{number}")
        single.load_tracker.begin(placed.attempt, now)
    order = [endpoint.name for endpoint in single.ranked_endpoints("llm")]
    for tracker, most_used in ((fleet.truth, 40 // 4), (single.load_tracker, 40 // 5)):
        used = {demand.endpoint for a in tracker.attempts.values() for demand in a.demands}
        assert used == set(order[: len(used)])
        assert len(used) <= most_used


def test_a_peer_that_falls_silent_makes_the_view_older():
    """Its beacons may be lost, or this entry may have been suspended."""
    unseen = UnseenWork()
    for number in range(100):
        unseen.record(WorkKind.SHORT, 1, number * 0.01)
    fresh = unseen.count(WorkKind.SHORT, {"a": 1.0, "b": 1.0}, 1.0)
    half_silent = unseen.count(WorkKind.SHORT, {"a": 1.5, "b": -0.5}, 1.5)
    assert fresh < 2
    assert half_silent > 20 * fresh


def test_plain_calls_of_many_entries_do_not_all_go_to_one_endpoint():
    costs = {"a": 0.0, "b": 0.0, "c": 0.1, "d": 5.0}
    fleet = DelayedFleet(1, 0.0)
    chosen = [choose_spread(costs, costs.get, 1.0, fleet.random) for _ in range(300)]
    assert {name: chosen.count(name) > 50 for name in costs} == {
        "a": True,
        "b": True,
        "c": True,
        "d": False,
    }
