"""Evacuated data centres: who is chosen, what is known in any order of events, where load goes."""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from persimmonstall.direct.evacuations import (
    END_TOLD_SECONDS,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    Evacuations,
)
from persimmonstall.direct.fleet import RESTORE_SECONDS
from persimmonstall.direct.updates import EvacuationChange, EvacuationUpdate
from persimmonstall.failures import Failure, Reason

from .delayed_fleet import DelayedFleet
from .direct_parts import LLM, LONG, PLAIN, REPEATABLE, SHORT, make_placer, routed

DATA_CENTRES = ("a", "b", "c")
SOME_DATA_CENTRE = st.sampled_from(DATA_CENTRES)
SMALL_ENGINES = attrs.evolve(LLM, engine=attrs.evolve(LLM.engine, slots=5))


def told(*names, revision=1, **options):
    changes = tuple(EvacuationChange(name, True) for name in names)
    return EvacuationUpdate(changes, revision, whole=True, **options)


def spread_placer(count=23, service="llm", slots=8):
    """Return a placer whose endpoints are in three data centres by turns."""
    return in_data_centres(make_placer(count, service, slots))


def in_data_centres(placer):
    for number, endpoint in enumerate(list(placer.fleet.endpoints.values())):
        placer.fleet.put(attrs.evolve(endpoint, data_centre=DATA_CENTRES[number % 3]))
    return placer


def evacuate(placer, *names, revision=1, now=0.0):
    placer.eligibility.evacuations.merge(told(*names, revision=revision), now)


def used_data_centres(placer, placed):
    names = {demand.endpoint for demand in placed.attempt.demands}
    return {placer.fleet.endpoints[name].data_centre for name in names}


@pytest.mark.parametrize(
    ("route", "service", "tokens"),
    [(SHORT, LLM, 5_000), (LONG, LLM, 190_000), (REPEATABLE, PLAIN, 0)],
    ids=["short", "split", "plain"],
)
def test_nothing_is_placed_in_an_evacuated_data_centre_until_it_is_taken_back(
    route, service, tokens
):
    placer = spread_placer(24, service.name)
    call = routed(route, service, tokens=tokens)
    evacuate(placer, "a", "b")
    for number in range(30):
        placed = placer.place(call, 0.0, f"f{number}")
        placer.load_tracker.begin(placed.attempt, 0.0)
        assert used_data_centres(placer, placed) == {"c"}
    evacuate(placer, revision=2)
    assert not used_data_centres(placer, placer.place(call, 0.0, "g")) & {"c"}


def test_attempt_that_was_placed_before_is_not_sent_any_more():
    placer = spread_placer()
    endpoint = placer.place(routed(), 0.0, "f").request.endpoint
    assert placer.eligibility.accepts(endpoint, 0.0)
    evacuate(placer, endpoint.data_centre)
    assert not placer.eligibility.accepts(endpoint, 0.0)


@pytest.mark.parametrize(
    ("age", "wait"), [(0.0, MIN_RETRY_SECONDS), (3.0, 3.0), (99.0, MAX_RETRY_SECONDS)]
)
def test_call_is_refused_at_once_if_all_data_centres_of_its_service_are_evacuated(age, wait):
    placer = spread_placer()
    evacuate(placer, *DATA_CENTRES, now=10.0)
    failure = placer.place(routed(), 10.0 + age, "f")
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.NO_ENDPOINT
    assert failure.delay == wait


def test_unknown_data_centres_are_harmless():
    placer = spread_placer()
    evacuate(placer, "", "nowhere")
    assert not isinstance(placer.place(routed(), 0.0, "f"), Failure)


@pytest.mark.parametrize("lag", [0.03, 0.1])
def test_load_of_an_emptied_data_centre_moves_without_a_wave(lag):
    """The other engines have room for it."""
    fleet = DelayedFleet(45, lag)
    in_data_centres(fleet.placer)
    short, long = attrs.evolve(SHORT, objective=0.4), attrs.evolve(LONG, objective=6.0)

    def calls(start, end):
        shorts = [(at, routed(short, SMALL_ENGINES)) for at in fleet.arrivals(28, start, end)]
        longs = [
            (at, routed(long, SMALL_ENGINES, tokens=190_000, max_output_tokens=700))
            for at in fleet.arrivals(1, start, end)
        ]
        return shorts + longs

    fleet.play(calls(0.0, 3.0))
    evacuate(fleet.placer, "a", now=3.0)
    fleet.outcomes.clear()
    outcomes = fleet.play(calls(3.0, 9.0))
    assert outcomes["short"].late_share <= 0.02
    assert outcomes["short"].full_share <= 0.1
    assert outcomes["long"].late_share <= 0.02


class EvacuationMachine(RuleBasedStateMachine):
    """Entries that hear of a store's evacuations in any order, late, twice or not at all.

    What an entry knows as of a revision is what the store held then.  After the store came back
    from an old copy, what the copy lacks may count a while longer.
    """

    @initialize()
    def start(self):
        self.now = 100.0
        self.revision = 0
        self.names = frozenset()
        self.history = {0: frozenset()}
        self.writes = []
        self.copy = (0, frozenset())
        self.entries = [Evacuations() for _ in range(3)]
        self.read_up_to = [-1, -1, -1]
        self.messages = []
        self.highest = [-1, -1, -1]

    def write(self, name, evacuated):
        self.revision += 1
        self.writes.append((self.revision, EvacuationChange(name, evacuated)))
        self.names = self.names | {name} if evacuated else self.names - {name}
        self.history[self.revision] = self.names

    @rule(name=SOME_DATA_CENTRE, evacuated=st.booleans())
    def operator_writes(self, name, evacuated):
        self.write(name, evacuated)

    @rule()
    def store_is_copied(self):
        self.copy = (len(self.writes), self.names)

    @rule()
    def store_comes_back_from_the_copy(self):
        length, names = self.copy
        del self.writes[length:]
        self.revision += 1000
        self.names = names
        self.history[self.revision] = names
        self.read_up_to = [-1, -1, -1]
        for entry in range(3):
            self.read_whole(entry, restored=True)

    @rule(entry=st.integers(0, 2), restored=st.just(False))
    def read_whole(self, entry, restored):
        update = told(*self.names, revision=self.revision, restored=restored)
        self.entries[entry].merge(update, self.now)
        self.read_up_to[entry] = self.revision

    @rule(entry=st.integers(0, 2))
    def read_changes(self, entry):
        if self.read_up_to[entry] < 0:
            return
        changes = [change for at, change in self.writes if at > self.read_up_to[entry]]
        if changes:
            self.entries[entry].merge(EvacuationUpdate(tuple(changes), self.revision), self.now)
        self.read_up_to[entry] = self.revision

    @rule(entry=st.integers(0, 2))
    def entry_tells(self, entry):
        self.messages.append(self.entries[entry].snapshot(self.now))

    @rule(entry=st.integers(0, 2), number=st.integers(0, 30))
    def message_arrives(self, entry, number):
        if number < len(self.messages) and self.messages[number] is not None:
            self.entries[entry].merge(self.messages[number], self.now)

    @rule(entry=st.integers(0, 2))
    def entry_restarts(self, entry):
        self.entries[entry] = Evacuations()
        self.read_up_to[entry] = self.highest[entry] = -1

    @rule(seconds=st.floats(0.1, 2 * RESTORE_SECONDS))
    def time_passes(self, seconds):
        self.now += seconds
        for entry in self.entries:
            entry.expire(self.now)

    @invariant()
    def entries_know_what_the_store_held(self):
        for number, entry in enumerate(self.entries):
            assert entry.revision >= self.highest[number]
            self.highest[number] = entry.revision
            if entry.revision >= 0:
                assert entry.names == self.history[entry.revision]
            assert set(entry.since) == entry.names | set(entry.held)
            assert all(until <= self.now + RESTORE_SECONDS for until in entry.held.values())

    def teardown(self):
        """Once all have read and time has passed, all know what the store holds."""
        for entry in range(3):
            self.read_whole(entry, restored=False)
        self.time_passes(2 * RESTORE_SECONDS)
        assert all(set(entry.since) == self.names for entry in self.entries)


TestRandomOrders = EvacuationMachine.TestCase
TestRandomOrders.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


def test_copy_that_lacks_an_evacuation_does_not_end_it_before_operators_wrote_again():
    evacuations = Evacuations()
    evacuations.merge(told("a", "b", revision=5), 0.0)
    evacuations.merge(told("b", revision=1005, restored=True), 10.0)
    assert set(evacuations.since) == {"a", "b"}
    other = Evacuations()
    other.merge(told("a", "b", revision=5), 0.0)
    other.merge(evacuations.snapshot(11.0), 11.0)
    assert set(other.since) == {"a", "b"}
    assert evacuations.expire(10.0 + RESTORE_SECONDS)
    assert set(evacuations.since) == {"b"}


def test_others_are_told_of_evacuations_and_for_a_while_that_they_have_ended():
    evacuations = Evacuations()
    evacuations.merge(told(revision=1), 0.0)
    assert not evacuations.is_news(0.0)
    evacuations.merge(told("a", revision=2), 1.0)
    assert evacuations.is_news(1000.0)
    evacuations.merge(told(revision=3), 1000.0)
    assert evacuations.is_news(1001.0)
    assert not evacuations.is_news(1000.0 + END_TOLD_SECONDS)


def test_operator_that_ends_an_evacuation_after_a_restore_ends_it_at_once():
    evacuations = Evacuations()
    evacuations.merge(told("a", revision=5), 0.0)
    evacuations.merge(told(revision=1005, restored=True), 10.0)
    evacuations.merge(EvacuationUpdate((EvacuationChange("a", False),), 1006), 10.5)
    assert not evacuations.since
