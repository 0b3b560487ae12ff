"""Placement policies, admission control and an entry's view of the endpoints."""

from random import Random

import attrs
import pytest

from persimmonstall.failures import Failure, Reason
from persimmonstall.messages.control import EndpointLoad
from persimmonstall.messages.requests import Work
from persimmonstall.outside.engine import CacheEvent
from persimmonstall.placement.admission import admit
from persimmonstall.placement.length_aware import LengthAware
from persimmonstall.placement.policy import LeastOutstanding, RandomTwo, RoundRobin
from persimmonstall.placement.prefix import PrefixMap
from persimmonstall.placement.view import WARM_UP_SECONDS, FleetView
from persimmonstall.settings import Settings

MEMORY = 400_000


def load_of(name, backlog=0, long=0, leaving=False, used=0):
    return EndpointLoad(
        name,
        0,
        0,
        used,
        MEMORY,
        backlog,
        0.02,
        models=("m",),
        long_tokens=long,
        leaving=leaving,
        token_seconds=4e-5,
    )


@pytest.fixture
def view():
    made = FleetView(Settings())
    for number in range(8):
        made.join(f"e{number}", "dc1")
        made.report(load_of(f"e{number}"), 1.0)
    return made


def work_of(number, tokens, length_class, blocks=(), deadline=100.0, priority=5):
    return Work(
        f"r{number}",
        "o",
        b"",
        deadline,
        0.0,
        model="m",
        prompt_tokens=tokens,
        max_tokens=4096,
        predicted_tokens=200,
        length_class=length_class,
        blocks=blocks,
        priority=priority,
    )


def place_many(view, policy, count, tokens, length_class):
    random = Random(1)
    used = []
    for number in range(count):
        work = work_of(f"{length_class}{number}", tokens, length_class)
        placed = policy.place(work, view, 2.0, random)
        view.sent(work, placed, 2.0)
        used.append(placed.endpoint)
    return used


def test_long_and_medium_prompts_leave_reserved_endpoints_to_short_ones(view):
    reserved = {state.name for state in view.pools.by_key["model", "m", ""].reserved}
    assert len(reserved) == 2
    bulk = place_many(view, LengthAware(), 12, 60_000, "long")
    bulk += place_many(view, LengthAware(), 24, 10_000, "medium")
    assert not reserved & set(bulk)
    assert set(place_many(view, LengthAware(), 12, 2_000, "short")) == reserved


def test_long_prompts_use_all_endpoints_without_a_reserved_share():
    settings = Settings()
    settings.placing.short_share = 0.0
    view = FleetView(settings)
    for number in range(8):
        view.join(f"e{number}")
        view.report(load_of(f"e{number}"), 1.0)
    assert len(set(place_many(view, LengthAware(), 16, 60_000, "long"))) == 8


def test_medium_prompt_takes_a_reserved_endpoint_rather_than_miss_its_deadline(view):
    pool = view.pools.by_key["model", "m", ""]
    for state in pool.common:
        view.report(load_of(state.name, backlog=500_000), 1.5)
    reserved = {state.name for state in pool.reserved}
    placed = LengthAware().place(work_of(1, 10_000, "medium", deadline=15.0), view, 2.0, Random(1))
    assert placed.endpoint in reserved


def test_own_attempts_count_until_a_later_report_includes_them(view):
    work = work_of(1, 10_000, "medium")
    placed = LengthAware().place(work, view, 2.0, Random(1))
    view.sent(work, placed, 2.0)
    state = view.endpoints[placed.endpoint]
    assert state.ahead >= 10_000
    view.report(load_of(placed.endpoint), 2.01)
    assert state.ahead >= 10_000, "an older report must not hide the attempt"
    view.first_token("r1", placed.endpoint, 2.5)
    view.report(load_of(placed.endpoint), 3.0)
    assert state.ahead == 0
    view.ended("r1", placed.endpoint)
    assert (state.own_running, state.memory_free) == (0, MEMORY)


def test_prefix_owner_wins_until_its_cache_is_lost(view):
    blocks = tuple(range(100, 108))
    work = work_of(1, 9_000, "medium", blocks)
    first = LengthAware().place(work, view, 2.0, Random(1))
    view.sent(work, first, 2.0)
    view.first_token("r1", first.endpoint, 2.1)
    view.ended("r1", first.endpoint)
    again = work_of(2, 9_000, "medium", blocks)
    places = {LengthAware().place(again, view, 9.0, Random(seed)).endpoint for seed in range(20)}
    assert places == {first.endpoint}
    view.prefixes.forget(first.endpoint)
    placed = LengthAware().place(again, view, 9.0, Random(3))
    assert placed.uncached == 9_000


def test_leaving_endpoint_gets_no_requests_despite_an_older_report(view):
    view.leave("e0")
    view.report(load_of("e0"), 2.0)
    for policy in (LengthAware(), RoundRobin(), LeastOutstanding(), RandomTwo()):
        assert "e0" not in place_many(view, policy, 20, 1_000, "short")


def test_endpoint_of_a_restarted_engine_is_warmed_up(view):
    view.report(load_of("e0", leaving=True), 2.0)
    assert not view.endpoints["e0"].usable
    view.report(load_of("e0"), 5.0)
    assert view.endpoints["e0"].usable
    assert view.endpoints["e0"].warm_until == 5.0 + WARM_UP_SECONDS


def test_slow_endpoint_is_ejected_probed_and_reinstated(view):
    state = view.endpoints["e0"]
    for _ in range(20):
        state.slowness.observe(9.0, 0.1, 10.0)
    assert "e0" not in place_many(view, LengthAware(), 20, 1_000, "short")
    assert state.slowness.may_use(20.0)
    state.slowness.record_use(20.0)
    assert not state.slowness.may_use(20.5)
    for _ in range(30):
        state.slowness.observe(0.1, 0.1, 30.0)
    assert not state.slowness.ejected


def test_model_without_endpoints_is_a_failure(view):
    work = attrs.evolve(work_of(1, 10, "short"), model="other")
    for policy in (LengthAware(), RoundRobin(), LeastOutstanding(), RandomTwo()):
        placed = policy.place(work, view, 1.0, Random(1))
        assert isinstance(placed, Failure)
        assert placed.reason is Reason.NO_ENDPOINT


def test_gap_in_cache_events_invalidates_the_prefixes():
    prefixes = PrefixMap()
    prefixes.record("e1", (1, 2, 3))
    assert prefixes.event("e1", CacheEvent(1))
    assert prefixes.match((1, 2, 3)) == {"e1": 3}
    assert not prefixes.event("e1", CacheEvent(3))
    assert prefixes.match((1, 2, 3)) == {}
    assert prefixes.event("e1", CacheEvent(4, added=(1,)))
    assert prefixes.match((1, 2, 3)) == {"e1": 1}
    assert prefixes.event("e1", CacheEvent(5, removed=(1,)))
    assert prefixes.match((1, 2, 3)) == {}


def test_prefix_map_is_bounded():
    prefixes = PrefixMap(max_blocks=100)
    for number in range(300):
        prefixes.record("e1", (number, number + 1000))
    assert len(prefixes.owners) == 100
    assert prefixes.match((299, 1299)) == {"e1": 2}


def test_request_that_cannot_meet_its_deadline_is_refused_with_retry_after(view):
    for name in view.endpoints:
        view.report(load_of(name, backlog=1_000_000), 1.5)
    work = work_of(1, 10_000, "medium", deadline=22.0)
    placed = LengthAware().place(work, view, 2.0, Random(1))
    refusal = admit(work, placed, 2.0, Random(1))
    assert refusal.reason is Reason.TOO_LATE
    assert refusal.retry_after >= 10.0
    later = attrs.evolve(work, deadline=200.0)
    assert admit(later, placed, 2.0, Random(1)) is None


def test_less_urgent_organisations_are_refused_first(view):
    for name in view.endpoints:
        view.report(load_of(name, backlog=500_000), 1.5)
    outcomes = []
    for priority in range(10):
        work = work_of(1, 10_000, "medium", deadline=33.0, priority=priority)
        placed = LengthAware().place(work, view, 2.0, Random(1))
        outcomes.append(admit(work, placed, 2.0, Random(1)) is None)
    assert outcomes[0] and not outcomes[9]
    assert outcomes == sorted(outcomes, reverse=True)
