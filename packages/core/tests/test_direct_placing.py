from collections import Counter

import attrs
import pytest

from persimmonstall.direct.engine_model import EngineModel, prefill_seconds
from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt, LoadTracker
from persimmonstall.direct.splitting import MAX_HELPERS
from persimmonstall.failures import Reason

from .direct_parts import (
    ENGINE_PROFILE,
    FILING,
    LONG,
    PLAIN,
    READING,
    SHORT,
    make_placer,
    routed,
)


def place(placer, request, now, name, **options):
    placed = placer.place(request, now, name, **options)
    placer.load_tracker.begin(placed.attempt, now)
    return placed


def test_idle_engine_reads_and_then_writes():
    model = EngineModel(ENGINE_PROFILE)
    model.begin("f", EndpointDemand("e", read=0.03, context=5000, memory=6000), 0.0)
    model.advance(0.2)
    assert not model.reads
    assert set(model.writes) == {"f"}
    model.end("f")
    assert model.free_memory() == ENGINE_PROFILE.memory


def test_reading_beside_writing_stretches_the_pass():
    model = EngineModel(ENGINE_PROFILE)
    model.begin("w", EndpointDemand("e", read=0.01, context=5000), 0.0)
    model.advance(0.1)
    alone = model.predict_first_event(0.03, 0.1)
    model.begin("r", EndpointDemand("e", read=0.1, writes=False), 0.1)
    assert model.predict_first_event(0.03, 0.1) > alone + 0.09


def test_room_is_what_the_strictest_pause_leaves():
    model = EngineModel(ENGINE_PROFILE)
    assert model.room() == float("inf")
    model.begin("w", EndpointDemand("e", read=0.01, context=5000, gap=0.2), 0.0)
    model.advance(0.1)
    assert 0.1 < model.room() < 0.2


def test_parts_for_other_engines_are_read_before_own_prompts():
    """The floods of long prompts: an engine's own part waits while it helps others."""
    model = EngineModel(ENGINE_PROFILE)
    model.begin("own", EndpointDemand("e", read=1.0, context=5000, patience=1.2), 0.0)
    assert model.harm(0.1, 0.0) == 0
    assert model.harm(0.5, 0.0) == 1
    model.begin("part", EndpointDemand("e", read=0.5, writes=False), 0.01)
    model.advance(0.7)
    assert set(model.reads) == {"own"}
    assert model.reads["own"].seconds > 0.6


def test_engine_not_looked_at_for_long_has_caught_up():
    model = EngineModel(ENGINE_PROFILE)
    model.begin("r", EndpointDemand("e", read=5.0, writes=False), 0.0)
    model.advance(1000.0)
    assert model.busy_until == 1000.0


def test_short_prompts_share_few_engines():
    placer = make_placer()
    used = {
        place(placer, routed(call_id=f"c{n}"), n * 0.04, f"f{n}").request.endpoint.name
        for n in range(20)
    }
    assert len(used) <= 8


def test_short_prompts_keep_their_objective_when_many_come():
    placer = make_placer()
    expected = [
        place(placer, routed(call_id=f"c{n}"), n * 0.015, f"f{n}").predicted_first_event
        for n in range(100)
    ]
    assert max(expected) <= SHORT.objective


def test_entries_that_start_at_once_do_not_all_fill_the_same_engines():
    """The closing faults: eight entries return together, each with calls that have queued up."""
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
    placed = place(placer, routed(LONG, tokens=133_000, most=700), 0.0, "f")
    parts = [demand.read for demand in placed.attempt.demands]
    assert 1 < len(parts) <= MAX_HELPERS + 1
    assert sum(parts) == pytest.approx(prefill_seconds(ENGINE_PROFILE, 133_000))
    assert placed.predicted_first_event < LONG.objective / 4
    names = [demand.endpoint for demand in placed.attempt.demands]
    assert len(set(names)) == len(names)


def test_flood_of_both_keeps_short_prompts_apart_from_long_parts():
    """The days on which floods of short and of long prompts meet."""
    placer = make_placer()
    late = 0
    for number in range(120):
        now = number * 0.04
        if number % 12 == 0:
            place(placer, routed(LONG, tokens=133_000, most=700), now, f"l{number}")
        placed = place(placer, routed(call_id=f"c{number}"), now, f"s{number}")
        late += placed.predicted_first_event > SHORT.objective
        for old in (number - 40,):
            placer.load_tracker.end(f"s{old}")
            placer.load_tracker.end(f"l{old - 30}")
    assert late == 0


def test_giant_prompt_does_not_stretch_the_passes_of_streams_beside_it():
    """The days on which a giant prompt comes into a flood of short ones."""
    placer = make_placer()
    for number in range(30):
        place(placer, routed(call_id=f"c{number}"), number * 0.03, f"s{number}")
    now = 1.0
    placed = placer.place(routed(LONG, tokens=275_000, most=700), now, "giant")
    harmed = 0
    for demand in placed.attempt.demands:
        load = placer.load_tracker.loads[demand.endpoint]
        load.advance(now)
        harmed += load.harm(demand.read, now)
    assert harmed <= 1
    assert placed.predicted_first_event <= LONG.objective


def test_prompt_larger_than_an_engine_is_spread_over_reserved_memory():
    placer = make_placer()
    placed = placer.place(routed(LONG, tokens=500_000, most=700), 0.0, "f")
    helpers = len(placed.request.helpers)
    assert 1 < len(placed.tickets) == helpers <= MAX_HELPERS
    assert sum(tokens for _, tokens in placed.tickets) >= 500_000 - ENGINE_PROFILE.memory
    assert all(tokens <= ENGINE_PROFILE.memory for _, tokens in placed.tickets)
    assert len({helper.ticket for helper, _ in placed.tickets}) == helpers


def test_in_a_large_fleet_a_prompt_is_split_over_idle_engines():
    placer = make_placer(100)
    for number in range(60):
        demand = EndpointDemand(f"e{number}", read=0.2, context=5000, gap=0.2)
        placer.load_tracker.begin(InFlightAttempt(f"busy{number}", (demand,)), 0.0)
    placed = placer.place(routed(LONG, tokens=133_000, most=700), 0.01, "f")
    assert all(int(demand.endpoint[1:]) >= 60 for demand in placed.attempt.demands)
    assert len(placed.attempt.demands) > 4


def test_prompt_that_fits_reserves_nothing():
    placer = make_placer()
    assert placer.place(routed(LONG, tokens=133_000, most=700), 0.0, "f").tickets == ()


def test_endpoint_in_trouble_is_avoided_while_others_do():
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


def test_plain_calls_go_where_least_is_in_flight():
    placer = make_placer(count=3, service="plain", slots=6)
    used = [
        place(placer, routed(FILING, PLAIN, call_id=f"c{n}"), 0.0, f"f{n}").request.endpoint.name
        for n in range(6)
    ]
    assert sorted(used) == ["e0", "e0", "e1", "e1", "e2", "e2"]


def test_flights_of_other_entries_count_until_they_end_or_fall_silent():
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


def test_load_made_anew_is_that_of_a_followed_one():
    placer = make_placer(1)
    load_tracker, service = placer.load_tracker, routed().service
    endpoint = placer.fleet.endpoints["e0"]
    followed = load_tracker.load_of(endpoint, service, 0.0)
    load_tracker.begin(
        InFlightAttempt("writes", (EndpointDemand("e0", 0.1, 5000, 6000),), started=True), 0.0
    )
    load_tracker.begin(InFlightAttempt("reads", (EndpointDemand("e0", 0.1, 5000, 6000),)), 0.0)
    load_tracker.forget(())
    made = load_tracker.load_of(endpoint, service, 0.0)
    assert set(made.writes) == set(followed.writes) == {"writes"}
    assert set(made.reads) == set(followed.reads) == {"reads"}


def test_plain_calls_stay_in_the_data_centre_until_its_endpoint_is_busier():
    placer = make_placer(3, "plain", slots=6)
    for number, endpoint in enumerate(list(placer.fleet.endpoints.values())):
        placer.fleet.put(attrs.evolve(endpoint, data_centre=f"dc{number}"))
    placer.data_centre = "dc2"
    used = [
        place(placer, routed(READING, PLAIN), 0.0, f"f{n}").request.endpoint.name for n in range(4)
    ]
    assert used[0] == "e2"
    assert set(used) == {"e0", "e1", "e2"}
