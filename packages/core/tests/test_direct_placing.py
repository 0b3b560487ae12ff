from collections import Counter

import attrs
import pytest

from persimmonstall.direct.engine_model import EngineModel, prefill_seconds
from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt, LoadTracker
from persimmonstall.direct.splitting import MAX_HELPERS
from persimmonstall.failures import Reason

from .direct_parts import (
    ENGINE_PROFILE,
    LONG,
    NON_REPEATABLE,
    PLAIN,
    REPEATABLE,
    SHORT,
    make_placer,
    routed,
)


def place(placer, request, now, name, **options):
    placed = placer.place(request, now, name, **options)
    placer.load_tracker.begin(placed.attempt, now)
    return placed


def test_idle_engine_prefills_and_then_generates():
    model = EngineModel(ENGINE_PROFILE)
    model.begin("f", EndpointDemand("e", prefill=0.03, context=5000, memory=6000), 0.0)
    model.advance(0.2)
    assert not model.prefills
    assert set(model.generating) == {"f"}
    model.end("f")
    assert model.free_memory() == ENGINE_PROFILE.memory


def test_prefill_beside_generation_lengthens_the_pass():
    model = EngineModel(ENGINE_PROFILE)
    model.begin("w", EndpointDemand("e", prefill=0.01, context=5000), 0.0)
    model.advance(0.1)
    before = model.predict_first_event(0.03, 0.1)
    model.begin("r", EndpointDemand("e", prefill=0.1, generates=False), 0.1)
    assert model.predict_first_event(0.03, 0.1) > before + 0.09


def test_prefill_headroom_follows_the_smallest_accepted_gap():
    model = EngineModel(ENGINE_PROFILE)
    assert model.prefill_headroom() == float("inf")
    model.begin("w", EndpointDemand("e", prefill=0.01, context=5000, max_gap=0.2), 0.0)
    model.advance(0.1)
    assert 0.1 < model.prefill_headroom() < 0.2


def test_parts_for_other_engines_are_prefilled_before_own_prompts():
    """Under many long prompts, an engine's own part waits while it prefills parts for others."""
    model = EngineModel(ENGINE_PROFILE)
    model.begin("own", EndpointDemand("e", prefill=1.0, context=5000, max_first_event=1.2), 0.0)
    assert model.lateness_cost(0.1, 0.0) == 0
    assert model.lateness_cost(0.5, 0.0) == 1
    model.begin("part", EndpointDemand("e", prefill=0.5, generates=False), 0.01)
    model.advance(0.7)
    assert set(model.prefills) == {"own"}
    assert model.prefills["own"].seconds > 0.6


def test_engine_not_advanced_for_long_has_finished_its_prefills():
    model = EngineModel(ENGINE_PROFILE)
    model.begin("r", EndpointDemand("e", prefill=5.0, generates=False), 0.0)
    model.advance(1000.0)
    assert model.busy_until == 1000.0


def test_short_prompts_are_packed_on_few_engines():
    placer = make_placer()
    used = {
        place(placer, routed(call_id=f"c{n}"), n * 0.04, f"f{n}").request.endpoint.name
        for n in range(20)
    }
    assert len(used) <= 8


def test_short_prompts_meet_their_objective_under_load():
    placer = make_placer()
    expected = [
        place(placer, routed(call_id=f"c{n}"), n * 0.015, f"f{n}").predicted_first_event
        for n in range(100)
    ]
    assert max(expected) <= SHORT.objective


def test_entries_that_start_at_once_do_not_all_fill_the_same_engines():
    """Entries that restart together with queued calls don't know each other's attempts yet."""
    placers = [make_placer(21) for _ in range(8)]
    used = Counter()
    for number, placer in enumerate(placers):
        placer.salt = f"entry{number}"
        for call in range(10):
            placed = place(placer, routed(call_id=f"c{call}"), 0.0, f"f{number}-{call}")
            used[placed.request.endpoint.name] += 1
    assert max(used.values()) <= 2 * ENGINE_PROFILE.slots
    assert len(used) >= 14


def test_long_prompt_is_split_evenly_and_passes_stay_short():
    placer = make_placer()
    placed = place(placer, routed(LONG, tokens=133_000, max_output_tokens=700), 0.0, "f")
    parts = [demand.prefill for demand in placed.attempt.demands]
    assert 1 < len(parts) <= MAX_HELPERS + 1
    assert sum(parts) == pytest.approx(prefill_seconds(ENGINE_PROFILE, 133_000))
    assert placed.predicted_first_event < LONG.objective / 4
    names = [demand.endpoint for demand in placed.attempt.demands]
    assert len(set(names)) == len(names)


def test_short_prompts_meet_their_objective_beside_long_prompts():
    """Bursts of short and of long prompts overlap."""
    placer = make_placer()
    late = 0
    for number in range(120):
        now = number * 0.04
        if number % 12 == 0:
            place(placer, routed(LONG, tokens=133_000, max_output_tokens=700), now, f"l{number}")
        placed = place(placer, routed(call_id=f"c{number}"), now, f"s{number}")
        late += placed.predicted_first_event > SHORT.objective
        for old in (number - 40,):
            placer.load_tracker.end(f"s{old}")
            placer.load_tracker.end(f"l{old - 30}")
    assert late == 0


def test_giant_prompt_does_not_lengthen_the_gaps_of_other_streams():
    """A giant prompt arrives during a burst of short ones."""
    placer = make_placer()
    for number in range(30):
        place(placer, routed(call_id=f"c{number}"), number * 0.03, f"s{number}")
    now = 1.0
    placed = placer.place(routed(LONG, tokens=275_000, max_output_tokens=700), now, "giant")
    late_weight = 0
    for demand in placed.attempt.demands:
        load = placer.load_tracker.loads[demand.endpoint]
        load.advance(now)
        late_weight += load.lateness_cost(demand.prefill, now)
    assert late_weight <= 1
    assert placed.predicted_first_event <= LONG.objective


def test_prompt_larger_than_an_engine_is_spread_over_reserved_memory():
    placer = make_placer()
    placed = placer.place(routed(LONG, tokens=500_000, max_output_tokens=700), 0.0, "f")
    helpers = len(placed.request.helpers)
    assert 1 < len(placed.tickets) == helpers <= MAX_HELPERS
    assert sum(tokens for _, tokens in placed.tickets) >= 500_000 - ENGINE_PROFILE.memory
    assert all(tokens <= ENGINE_PROFILE.memory for _, tokens in placed.tickets)
    assert len({helper.ticket for helper, _ in placed.tickets}) == helpers


def test_in_a_large_fleet_a_prompt_is_split_over_idle_engines():
    placer = make_placer(100)
    for number in range(60):
        demand = EndpointDemand(f"e{number}", prefill=0.2, context=5000, max_gap=0.2)
        placer.load_tracker.begin(InFlightAttempt(f"busy{number}", (demand,)), 0.0)
    placed = placer.place(routed(LONG, tokens=133_000, max_output_tokens=700), 0.01, "f")
    assert all(int(demand.endpoint[1:]) >= 60 for demand in placed.attempt.demands)
    assert len(placed.attempt.demands) > 4


def test_prompt_that_fits_reserves_nothing():
    placer = make_placer()
    assert (
        placer.place(routed(LONG, tokens=133_000, max_output_tokens=700), 0.0, "f").tickets == ()
    )


def test_failing_endpoint_is_avoided_while_others_work():
    placer = make_placer(count=3)
    first = placer.place(routed(), 0.0, "f").request.endpoint.name
    placer.failure_scores.record_failure(first, 0.0)
    assert placer.place(routed(), 0.0, "g").request.endpoint.name != first
    for name in ("e0", "e1", "e2"):
        placer.failure_scores.record_failure(name, 0.0, weight=3.0)
    assert placer.place(routed(), 0.0, "h")


def test_no_endpoint_is_a_failure():
    assert make_placer(count=0).place(routed(), 0.0, "f").reason is Reason.NO_ENDPOINT
    placer = make_placer(count=1)
    assert placer.place(routed(), 0.0, "f", avoid={"e0"}).reason is Reason.NO_ENDPOINT


def test_plain_calls_go_to_the_least_loaded_endpoint():
    placer = make_placer(count=3, service="plain", slots=6)
    used = [
        place(
            placer, routed(NON_REPEATABLE, PLAIN, call_id=f"c{n}"), 0.0, f"f{n}"
        ).request.endpoint.name
        for n in range(6)
    ]
    assert sorted(used) == ["e0", "e0", "e1", "e1", "e2", "e2"]


def test_attempts_of_other_entries_count_until_they_end_or_expire():
    load_tracker = LoadTracker()
    attempt = InFlightAttempt("p1", (EndpointDemand("e0", 0.1, 5000, 6000),))
    load_tracker.merge_remote("peer", (attempt,), 0.0)
    load_tracker.merge_remote("peer", (attempt,), 0.1)
    assert set(load_tracker.attempts) == {"p1"}
    assert load_tracker.local_attempts() == ()
    load_tracker.merge_remote("peer", (), 0.2)
    assert not load_tracker.attempts
    load_tracker.merge_remote("peer", (attempt,), 0.3)
    load_tracker.expire(10.0)
    assert not load_tracker.attempts


def test_recreated_load_equals_the_one_updated_all_along():
    placer = make_placer(1)
    load_tracker, service = placer.load_tracker, routed().service
    endpoint = placer.fleet.endpoints["e0"]
    updated = load_tracker.load_of(endpoint, service, 0.0)
    load_tracker.begin(
        InFlightAttempt("generating", (EndpointDemand("e0", 0.1, 5000, 6000),), started=True), 0.0
    )
    load_tracker.begin(
        InFlightAttempt("prefilling", (EndpointDemand("e0", 0.1, 5000, 6000),)), 0.0
    )
    load_tracker.forget(())
    recreated = load_tracker.load_of(endpoint, service, 0.0)
    assert set(recreated.generating) == set(updated.generating) == {"generating"}
    assert set(recreated.prefills) == set(updated.prefills) == {"prefilling"}


def test_plain_calls_stay_in_the_data_centre_until_its_endpoint_is_busier():
    placer = make_placer(3, "plain", slots=6)
    for number, endpoint in enumerate(list(placer.fleet.endpoints.values())):
        placer.fleet.put(attrs.evolve(endpoint, data_centre=f"dc{number}"))
    placer.data_centre = "dc2"
    used = [
        place(placer, routed(REPEATABLE, PLAIN), 0.0, f"f{n}").request.endpoint.name
        for n in range(4)
    ]
    assert used[0] == "e2"
    assert set(used) == {"e0", "e1", "e2"}
