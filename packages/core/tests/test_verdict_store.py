"""Verdicts on content that crashes endpoints, and their exchange between daemons."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from persimmonstall.invariants import Invariants
from persimmonstall.messages.control import LAST_LIFE, Crash
from persimmonstall.quarantine import ContentStatus, VerdictStore, crashes, verdict_store
from persimmonstall.quarantine.trial import PROPAGATION_SECONDS, trial_endpoint
from persimmonstall.quarantine.verdict_store import QUARANTINE_SECONDS, SUSPECT_SECONDS

WALL = 1000.0
STORES = 4


def make_store(**options):
    return VerdictStore(Invariants(strict=True), **options)


def test_second_crash_quarantines_and_a_repeated_report_does_not():
    store = make_store()
    assert len(store.record_crash({"f": (("r1/1",), 0)}, Crash("e1", "run", 1), WALL)) == 1
    assert store.record_crash({"f": (("r1/1",), 0)}, Crash("e1", "run", LAST_LIFE), WALL) == []
    assert store.status("f", WALL) is ContentStatus.SUSPECT
    store.record_crash({"f": (("r2/1",), 0)}, Crash("e2", "run2", 1), WALL)
    assert store.status("f", WALL) is ContentStatus.QUARANTINED
    assert store.record_progress("f", None, WALL) is None


def test_content_in_flight_beside_a_suspect_is_not_suspected():
    store = make_store()
    store.record_crash({"f": (("r1/1",), 0)}, Crash("e1", "run", 1), WALL)
    store.record_crash({"f": (("r1/2",), 0), "g": (("r2/1",), 5)}, Crash("e2", "run2", 1), WALL)
    assert store.status("f", WALL) is ContentStatus.QUARANTINED
    assert store.status("g", WALL) is ContentStatus.CLEAN


def test_suspect_is_not_quarantined_for_a_crash_that_new_content_beside_it_may_have_caused():
    store = make_store()
    store.record_crash({"f": (("r1/1",), 0)}, Crash("e1", "run", 1), WALL)
    beside = {"f": (("r1/2",), 0), "g": (("r2/1",), 0)}
    store.record_crash(beside, Crash("e2", "run2", 1), WALL)
    assert store.status("f", WALL) is ContentStatus.SUSPECT
    assert store.status("g", WALL) is ContentStatus.CLEAN
    other = make_store()
    assert other.learn(store.verdicts["f"], WALL)
    assert other.record_progress("f", None, WALL).doubtful == ()
    assert other.status("f", WALL) is ContentStatus.CLEAN
    store.record_crash(beside, Crash("e3", "run3", 1), WALL)
    assert store.status("f", WALL) is ContentStatus.QUARANTINED


def test_output_beyond_the_offset_of_the_crash_clears_up_to_a_bound():
    store = make_store()
    for number in range(1, verdict_store.MAX_CRASHES):
        offset = 100 * number
        store.record_crash({"f": ((f"r/{number}",), offset)}, Crash("e1", "run", number), WALL)
        assert store.record_progress("f", offset + 1, WALL) is None
        assert store.record_progress("f", offset + 100, WALL) is not None
    store.record_crash({"f": (("r/9",), 900)}, Crash("e1", "run", 9), WALL)
    assert store.status("f", WALL) is ContentStatus.QUARANTINED


def test_verdicts_expire_are_bounded_and_lifted(monkeypatch):
    monkeypatch.setattr(verdict_store, "MAX_VERDICTS", 3)
    lifts = {}
    store = make_store(lift_of=lambda name: lifts.get(name, 0))
    for number in (1, 2):
        store.record_crash({"bad": ((f"r/{number}",), 0)}, Crash("e1", "run", number), WALL)
    for number in range(9):
        store.record_crash(
            {f"f{number}": (("r/1",), 0)}, Crash("e2", "run2", number), WALL + number
        )
    assert len(store.verdicts) == 3
    assert store.status("bad", WALL) is ContentStatus.QUARANTINED
    lifts["bad"] = 1
    assert store.status("bad", WALL) is ContentStatus.CLEAN
    store.record_crash({"bad": (("r/5",), 0)}, Crash("e1", "run", 5), WALL)
    assert store.status("bad", WALL) is ContentStatus.SUSPECT
    store.expire(WALL + SUSPECT_SECONDS + 9)
    assert store.verdicts == {}
    assert QUARANTINE_SECONDS > SUSPECT_SECONDS


def test_presumed_crash_is_withdrawn_when_the_daemon_is_alive():
    store = make_store()
    presumed = Crash("e1", "run", LAST_LIFE, presumed=True)
    store.record_crash({"f": (("r1/1",), 0)}, presumed, WALL)
    assert [verdict.crashes for verdict in store.withdraw_presumed("e1", "run", WALL)] == [()]
    assert store.status("f", WALL) is ContentStatus.CLEAN


def test_trial_stays_on_a_lost_endpoint_until_its_crash_is_known():
    store = make_store()
    [verdict] = store.record_crash({"f": (("r1/1",), 0)}, Crash("e1", "run", 1), WALL)
    seen = dict.fromkeys(("e1", "e2", "e3"), 100.0)
    first = trial_endpoint(verdict, seen, 100.0)
    later = dict(seen, **{name: 100.0 + PROPAGATION_SECONDS for name in seen if name != first})
    assert first != "e1"
    assert trial_endpoint(verdict, later, 100.0 + PROPAGATION_SECONDS / 2) == first
    assert trial_endpoint(verdict, later, 100.0 + PROPAGATION_SECONDS) not in (first, "e1")


class Daemons(RuleBasedStateMachine):
    """Several daemons record crashes of the same content and exchange verdicts in any order."""

    def __init__(self):
        super().__init__()
        self.stores = [make_store() for _ in range(STORES)]
        self.crashes = 0
        self.numbers = itertools.count()

    @rule(endpoint=st.sampled_from("ab"), senders=st.sets(st.integers(1, STORES - 1), min_size=1))
    def engine_dies(self, endpoint, senders):
        """Let an engine die with attempts of several entries while its daemon lives on."""
        life = next(self.numbers)
        attempts = tuple(f"r{life}-{sender}/1" for sender in senders)
        self.stores[0].record_crash({"f": (attempts, 0)}, Crash(endpoint, "run", life), WALL)
        for sender in senders:
            own = ((f"r{life}-{sender}/1",), 0)
            self.stores[sender].learn(self.stores[0].verdicts["f"], WALL)
            self.stores[sender].record_crash({"f": own}, Crash(endpoint, "run", LAST_LIFE), WALL)
        self.crashes += 1

    @rule(senders=st.sets(st.integers(1, STORES - 1), min_size=1))
    def engine_and_daemon_die(self, senders):
        """Let an engine die together with its daemon, which only the entries notice."""
        number = next(self.numbers)
        for sender in senders:
            own = ((f"r{number}-{sender}/1",), 0)
            crash = Crash("c", f"run{number}", LAST_LIFE, presumed=True)
            self.stores[sender].record_crash({"f": own}, crash, WALL)
        self.crashes += 1

    @rule(sender=st.integers(0, STORES - 1), receiver=st.integers(0, STORES - 1))
    def exchange(self, sender, receiver):
        """Send one daemon's verdict to another."""
        verdict = self.stores[sender].verdicts.get("f")
        if verdict:
            self.stores[receiver].learn(verdict, WALL)

    @invariant()
    def no_crash_counts_twice(self):
        counts = [len(store.verdicts["f"].crashes) for store in self.stores if store.verdicts]
        assert all(count <= self.crashes for count in counts)

    @invariant()
    def all_agree_after_exchange(self):
        copies = [make_store() for _ in self.stores]
        for copy, order in zip(copies, itertools.permutations(self.stores), strict=False):
            for store in order:
                if store.verdicts:
                    copy.learn(store.verdicts["f"], WALL)
        counts = {len(copy.verdicts["f"].crashes) for copy in copies if copy.verdicts}
        assert counts <= {self.crashes}


TestDaemons = Daemons.TestCase
TestDaemons.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


def test_without_deduplication_one_crash_counts_twice(monkeypatch):
    monkeypatch.setattr(crashes, "same_crash", lambda one, other: one == other)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Daemons, settings=TestDaemons.settings)
