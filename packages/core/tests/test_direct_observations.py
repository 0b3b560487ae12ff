"""Failures and slowness that only the callers of one data centre see, and how entries tell."""

import pytest

from persimmonstall.direct import datagrams
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.distance import Delay, Distances
from persimmonstall.direct.messages import Endpoint
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.state import State
from persimmonstall.failures import Failure

from .direct_parts import routed
from .test_direct_paces import SLOWDOWN, record_gaps

DISTANCES = Distances.of([Delay("a", "b", 0.001)])


def make_state(data_centre, distances=DISTANCES):
    """Return the state of an entry in a data centre, with two engines."""
    state = State(SharedRetryBudget(0.2, 200.0, 10.0), data_centre)
    for number in range(2):
        address = f"10.0.0.{number}:80"
        state.fleet.put(Endpoint(f"e{number}", "llm", address, data_centre, born=1, slots=8))
    state.use_distances(distances)
    return state


def tell(sender, *receivers, now):
    """Let an entry tell others what it observed, as bytes."""
    fields = sender.observations.state(now)
    decoded = datagrams.decode(datagrams.encode(Kind.OBSERVATIONS, fields))
    for receiver in receivers:
        assert receiver.observations.merge(decoded.fields, now) is None


def usual_engine(state, now):
    """Return the engine to which a call of this entry goes."""
    return state.placer.place(routed(), now, "f").request.endpoint.name


def fail(state, name, now):
    """Let a call of an entry fail at an engine."""
    state.failure_scores.record_failure(name, now)


def be_slow(state, name, now):
    """Let streams of an entry at an engine be slow."""
    record_gaps(state.placer, name, SLOWDOWN, now)


def serve_well(state, name, now):
    """Let an engine serve a caller of an entry well."""
    record_gaps(state.placer, name, 1.0, now)
    state.failure_scores.record_success(name, now)


TROUBLES = pytest.mark.parametrize("trouble", [fail, be_slow])


@TROUBLES
def test_trouble_is_believed_until_a_caller_of_this_data_centre_is_served_well(trouble):
    """Callers of one data centre kept those of all others away from a sound engine."""
    near, other, peer = make_state("a"), make_state("b"), make_state("b")
    usual = usual_engine(other, 0.0)
    trouble(near, usual, 0.0)
    tell(near, other, peer, now=0.1)
    assert usual_engine(other, 0.1) != usual
    serve_well(other, usual, 0.2)
    assert usual_engine(other, 0.3) == usual
    assert usual_engine(peer, 0.3) != usual
    tell(other, peer, now=0.3)
    assert usual_engine(peer, 0.3) == usual
    assert usual_engine(near, 0.3) != usual


@TROUBLES
def test_callers_of_the_same_data_centre_are_kept_away(trouble):
    near, peer = make_state("a"), make_state("a")
    usual = usual_engine(peer, 0.0)
    serve_well(peer, usual, 0.0)
    trouble(near, usual, 0.1)
    tell(near, peer, now=0.1)
    assert usual_engine(peer, 0.1) != usual


@TROUBLES
def test_trouble_that_comes_after_a_caller_was_served_well_is_believed(trouble):
    near, other = make_state("a"), make_state("b")
    usual = usual_engine(other, 0.0)
    serve_well(other, usual, 0.0)
    trouble(near, usual, 0.1)
    tell(near, other, now=0.1)
    assert usual_engine(other, 0.1) != usual


@pytest.mark.parametrize(("trouble", "again"), [(fail, False), (be_slow, True)])
def test_trouble_that_goes_on_elsewhere_is_not_news_with_each_report(trouble, again):
    """A sound engine was left and used again by turns, with each report of its trouble."""
    near, other = make_state("a"), make_state("b")
    usual = usual_engine(other, 0.0)
    trouble(near, usual, 0.0)
    tell(near, other, now=0.1)
    serve_well(other, usual, 0.2)
    for number in range(1, 6):
        now = 0.1 + number * 0.4
        if again:
            trouble(near, usual, now)
        tell(near, other, now=now)
        assert usual_engine(other, now) == usual


def test_report_that_overtakes_an_older_one_or_comes_twice_changes_nothing():
    near, other = make_state("a"), make_state("b")
    fail(near, "e0", 0.0)
    older = near.observations.state(0.0)
    fail(near, "e0", 0.1)
    for fields in (near.observations.state(0.1), older, older):
        other.observations.merge(fields, 0.1)
    score = other.failure_scores.score("e0", 0.1)
    assert score == pytest.approx(near.failure_scores.score("e0", 0.1), abs=0.01)


def test_entries_without_distances_tell_nothing_of_their_own():
    """Beacons carry failures and slowness where no data centres are told apart."""
    state = make_state("a", Distances())
    fail(state, "e0", 0.0)
    be_slow(state, "e1", 0.0)
    assert state.observations.state(0.1) is None
    assert state.observations.changes(0.1) is None


def test_becoming_slow_is_told_with_the_next_two_beacons():
    state = make_state("a")
    told = [state.observations.changes(0.0)]
    be_slow(state, "e0", 0.0)
    for _ in range(3):
        told.append(state.observations.changes(0.0))
        state.observations.mark_sent()
    assert [fields is not None for fields in told] == [False, True, True, False]


@pytest.mark.parametrize(
    "fields",
    [
        (),
        (5, None, (), (), ()),
        ("a", 5, (), (), ()),
        ("a", [("e", "x")], (), (), ()),
        ("a", [("e", 1e999)], (), (), ()),
    ],
)
def test_malformed_report_is_a_failure(fields):
    assert isinstance(make_state("b").observations.merge(fields, 0.0), Failure)


def test_later_versions_may_add_fields():
    state = make_state("b")
    assert state.observations.merge(("a", [("e0", 1.0)], (), (), (), "more"), 0.0) is None
    assert state.failure_scores.score("e0", 0.0) == 1.0
