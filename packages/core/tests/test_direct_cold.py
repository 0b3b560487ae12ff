"""Cold endpoints: when an endpoint counts as cold, what goes there, and what may be sent."""

import attrs
import pytest

from persimmonstall.direct.cold import GRANT_SECONDS, OWNERS, ColdBound, ColdEndpoints
from persimmonstall.direct.messages import Configuration, Endpoint, Service
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.state import State
from persimmonstall.direct.updates import (
    ConfigurationUpdate,
    EndpointChange,
    EndpointUpdate,
    EvacuationChange,
    EvacuationUpdate,
)

from .direct_parts import LLM, LONG, PLAIN, REPEATABLE, SHORT, make_placer, routed

START_SECONDS = 3.0
ALLOWED = 53.0
BOUNDS = {name: ColdBound(START_SECONDS, ALLOWED) for name in ("llm", "plain")}


def endpoint(born=1, said=None, **changes):
    fields = {"name": "e", "service": "llm", "address": "10.0.0.1:80", **changes}
    return Endpoint(**fields, born=born, cold_seconds=said)


@pytest.fixture
def tracker():
    return ColdEndpoints(bounds=dict(BOUNDS))


@pytest.fixture
def state():
    """Return a state whose service names a bound, without endpoints."""
    state = State(SharedRetryBudget(0.2, 10.0, 10.0), cold=ColdEndpoints(1.5, 5.0))
    services = {"llm": Service("llm", cold_start=START_SECONDS, cold_rate=32.0)}
    state.apply_update(ConfigurationUpdate(Configuration(1, (), services)), 0.0)
    return state


def show(state, shown, revision, now, whole=False):
    change = EndpointChange(shown.name, shown)
    state.apply_update(EndpointUpdate((change,), revision, whole), now)


def test_row_says_for_how_long_an_endpoint_is_cold(tracker):
    tracker.observe_row(endpoint(said=2.0), False, 10.0)
    assert tracker.is_cold(endpoint(), 11.9)
    assert not tracker.is_cold(endpoint(), 12.0)


def test_same_row_read_again_does_not_prolong_coldness(tracker):
    tracker.observe_row(endpoint(said=2.0), False, 10.0)
    tracker.observe_row(endpoint(said=2.0), False, 11.5)
    assert not tracker.is_cold(endpoint(), 12.1)


def test_endpoint_may_turn_cold_again_and_say_the_same_as_before(tracker):
    tracker.observe_row(endpoint(said=2.0), False, 10.0)
    tracker.observe_row(endpoint(said=2.0), False, 20.0)
    assert tracker.is_cold(endpoint(), 21.0)


def test_row_that_says_warm_again_ends_what_a_row_had_said_but_not_what_is_presumed(tracker):
    tracker.observe_row(endpoint(said=2.0), False, 10.0)
    tracker.observe_row(endpoint(said=0.0), False, 10.5)
    assert not tracker.is_cold(endpoint(), 10.6)
    tracker.presume(endpoint(), 20.0)
    tracker.observe_row(endpoint(said=0.0), False, 20.5)
    assert tracker.is_cold(endpoint(), 21.0)


@pytest.mark.parametrize(
    ("said", "watched", "cold"),
    [(None, True, True), (None, False, False), (0.0, True, False), (1.5, False, True)],
)
def test_new_lifetime_is_cold_unless_its_row_says_otherwise(state, said, watched, cold):
    if watched:
        show(state, endpoint(name="other"), 1, 5.0, whole=True)
    show(state, endpoint(said=said), 2, 10.0, whole=not watched)
    assert state.cold.is_cold(endpoint(), 10.1) == cold


def test_rows_read_before_the_configuration_count(state):
    early = State(SharedRetryBudget(0.2, 10.0, 10.0), cold=ColdEndpoints(1.5, 5.0))
    show(early, endpoint(said=2.0), 1, 1.0, whole=True)
    early.apply_update(ConfigurationUpdate(state.configuration), 1.5)
    assert early.cold.is_cold(endpoint(), 2.0)


def test_services_without_a_bound_have_no_cold_endpoints(state):
    shown = endpoint(said=2.0, service="plain")
    show(state, shown, 1, 1.0, whole=True)
    assert not state.cold.lifetimes
    assert not state.cold.is_cold(shown, 1.1)


def test_endpoints_of_a_data_centre_that_is_taken_back_are_cold_at_first(state):
    show(state, endpoint(data_centre="a", said=0.0), 1, 1.0, whole=True)
    evacuated = EvacuationChange("a", True)
    state.apply_update(EvacuationUpdate((evacuated,), 2, whole=True), 2.0)
    assert not state.cold.is_cold(endpoint(), 2.1)
    state.apply_update(EvacuationUpdate((), 3, whole=True), 9.0)
    assert state.cold.is_cold(endpoint(), 9.1)


def test_coldness_ends_with_the_lifetime(state):
    show(state, endpoint(said=2.0), 1, 1.0, whole=True)
    show(state, endpoint(born=2, said=0.0), 2, 1.2)
    state.tick(1.3)
    assert not state.cold.lifetimes


@pytest.mark.parametrize("requests", [2.5, 4.0, 53.0, 400.0])
def test_owners_together_grant_no_more_than_the_bound(requests):
    """Requests of permits granted within `GRANT_SECONDS` can arrive within one second."""
    rule = ColdBound(START_SECONDS, requests).rule
    assert OWNERS * (rule.burst + rule.rate * GRANT_SECONDS) <= requests + 1e-9


def cold_placer(count, cold, service="llm"):
    """Return a placer of `count` endpoints of which the numbers in `cold` are cold."""
    placer = make_placer(count, service)
    placer.cold.bounds.update(BOUNDS)
    for number in cold:
        placer.cold.presume(placer.fleet.endpoints[f"e{number}"], 0.0)
    return placer


@pytest.mark.parametrize(
    ("route", "service", "tokens"),
    [(SHORT, LLM, 5_000), (LONG, LLM, 60_000), (REPEATABLE, PLAIN, 0)],
    ids=["short", "split", "plain"],
)
def test_empty_cold_endpoints_do_not_draw_the_herd(route, service, tokens):
    placer = cold_placer(30, range(10), service.name)
    used = set()
    for number in range(20):
        placed = placer.place(routed(route, service, tokens=tokens), 0.0, f"f{number}")
        placer.load_tracker.begin(placed.attempt, 0.0)
        used |= {each.name for each in placed.endpoints}
    assert not used & {f"e{number}" for number in range(10)}


@pytest.mark.parametrize(("route", "service"), [(SHORT, LLM), (REPEATABLE, PLAIN)])
def test_cold_endpoints_take_what_the_warm_ones_have_no_room_for(route, service):
    placer = cold_placer(6, range(1, 6), service.name)
    for number in range(40):
        placed = placer.place(routed(route, service), 0.0, f"f{number}")
        placer.load_tracker.begin(placed.attempt, 0.0)
    counts = [placer.load_tracker.count_in_flight(f"e{number}") for number in range(6)]
    assert min(counts) >= 4


def test_attempt_without_a_valid_permit_for_a_cold_endpoint_may_not_be_sent():
    placer = cold_placer(1, [0])
    placed = placer.place(routed(), 0.0, "f")
    assert placer.cold.unpermitted(placed, 0.0) is placed.request.endpoint
    permitted = attrs.evolve(placed, permitted=frozenset(["e0"]), permitted_until=0.2)
    assert placer.cold.unpermitted(permitted, 0.1) is None
    assert placer.cold.unpermitted(permitted, 0.3) is placed.request.endpoint
    assert placer.cold.unpermitted(placed, START_SECONDS) is None
