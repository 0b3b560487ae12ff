"""What callers get where more is asked than fits, or nearly so, by the load that is played."""

import attrs
import pytest

from persimmonstall.direct.engine_model import EngineModel
from persimmonstall.direct.loads import EndpointDemand
from persimmonstall.direct.messages import EngineProfile

from .contended_fleet import ContendedFleet
from .direct_parts import LLM, LONG, SHORT, make_placer, routed

PROFILE = EngineProfile(6, 172_000, 1.31e-3, 0.9e-6, 2.1e-9, 1 / 154_000, 162e-12, 2048, 38)
SERVICE = attrs.evolve(LLM, engine=PROFILE)
QUOTE = attrs.evolve(SHORT, name="quote", objective=0.32, gap_objective=0.25)
REVIEW = attrs.evolve(LONG, name="review", objective=4.0, gap_objective=1.0)
ENGINES = 45


def ask_quotes(fleet, rate, start, end, **options):
    return [fleet.ask(at, quote(**options)) for at in fleet.arrivals(rate, start, end)]


def quote(service=SERVICE, **options):
    return routed(QUOTE, service, tokens=5_000, max_output_tokens=1300, **options)


def ask_reviews(fleet, interval, end):
    review = routed(REVIEW, SERVICE, tokens=260_000, max_output_tokens=700)
    times = [number * interval for number in range(int(end / interval))]
    return [fleet.ask(at, review, events=20) for at in times]


def share_in_time(calls, since=0.0):
    """Return the share of calls in time, of those that were asked since then."""
    judged = [call for call in calls if call.asked >= since]
    return sum(call.in_time for call in judged) / len(judged)


@pytest.fixture
def fleets():
    """Return fleets of engines whose entries see each other's calls 30 ms late."""
    return [ContendedFleet(ENGINES, 0.03, PROFILE, seed) for seed in range(1, 7)]


def test_flood_that_needs_four_fifths_of_the_slots_is_served_in_time(fleets):
    """A third of the slots was left free for unseen calls, however few there were."""
    calls = []
    for fleet in fleets:
        calls += ask_quotes(fleet, 95.0, 0.0, 8.0)
        fleet.run(20.0)
    assert share_in_time(calls, since=3.0) >= 0.98


def test_flood_of_short_prompts_beside_long_ones_is_served_in_time(fleets):
    """The short ones were spread over all engines, so that each long one met streams."""
    quotes, reviews = [], []
    for fleet in fleets:
        quotes += ask_quotes(fleet, 80.0, 0.0, 8.0)
        reviews += ask_reviews(fleet, 1.0, 8.0)
        fleet.run(40.0)
    assert share_in_time(quotes, since=3.0) >= 0.95
    assert share_in_time(reviews) >= 0.95


def test_what_others_placed_counts_at_an_engine_that_this_entry_has_not_used_yet():
    """Nearly all engines are new to an entry whose own calls are few."""
    one, other = (make_placer(3, slots=PROFILE.slots) for _ in range(2))
    for number in range(PROFILE.slots):
        placed = one.place(quote(), number * 0.1, f"f{number}")
        one.load_tracker.begin(placed.attempt, number * 0.1)
        other.load_tracker.merge_remote_changes("one", (placed.attempt,), (), number * 0.1)
    first = placed.request.endpoint
    assert one.load_tracker.count_in_flight(first.name) == PROFILE.slots
    assert other.place(quote(), 0.7, "g").request.endpoint != first


@pytest.mark.parametrize("writers", [0, 3])
@pytest.mark.parametrize("seconds", [5.2, 12.0])
def test_engine_that_is_looked_at_seldom_is_predicted_like_one_that_is_often(writers, seconds):
    """Entries with few calls took engines for idle that had prefilled a long prompt for 3 s."""
    models = [EngineModel(PROFILE) for _ in range(2)]
    for model in models:
        for number in range(writers):
            model.begin(f"w{number}", EndpointDemand("e", 0.03, 5_000, 6_000), 0.0)
            model.prefill_done(f"w{number}")
        model.begin("part", EndpointDemand("e", seconds, generates=False), 0.0)
        model.begin("own", EndpointDemand("e", 0.03, 5_000, 6_000), 0.1)
    often, seldom = models
    for tick in range(1, 250):
        often.advance(tick * 0.04)
    seldom.advance(9.96)
    assert set(seldom.generating) == set(often.generating)
    late = 2 * PROFILE.stride * PROFILE.step
    assert seldom.predict_first_event(0.0, 9.96) == pytest.approx(
        often.predict_first_event(0.0, 9.96), abs=late
    )
