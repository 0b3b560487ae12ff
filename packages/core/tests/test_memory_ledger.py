"""The memory ledger, parking, and reconciliation with the engine's list of jobs."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonstall.invariants import Invariants
from persimmonstall.memory import parking
from persimmonstall.memory.ledger import Allocation, AllocationKind, Ledger
from persimmonstall.memory.reconcile import Owner, Reconciler
from persimmonstall.outside.engine import JobKind, JobState

ME = Owner("i1", "run2")
GRACE = 4.0


def stream(name, base=100, expected=150, maximum=1000, priority=5, **changes):
    return Allocation(
        name, "d", AllocationKind.STREAM, base, expected, maximum, 1e9, priority, **changes
    )


@pytest.fixture
def ledger():
    return Ledger(Invariants(strict=True), capacity=1000)


@pytest.fixture
def reconciler():
    return Reconciler(ME, GRACE, max_age=900.0)


def state(job_id, owner=ME, kind=JobKind.GENERATE, age=0.0):
    return JobState(job_id, str(owner), kind, 100, age)


def freed(findings):
    return [free.name for free in findings.free]


def test_estimate_is_raised_as_the_output_grows(ledger):
    ledger.add(stream("a"))
    ledger.grow("a", 160)
    assert 160 < ledger.committed_tokens <= 1000
    ledger.grow("a", 1000)
    assert ledger.committed_tokens == 1000
    assert not ledger.fits(1)


def test_own_unknown_job_is_freed_at_once_but_an_export_after_the_grace(ledger, reconciler):
    states = (state("lost-cancel"), state("ticket", kind=JobKind.PARKED))
    assert freed(reconciler.compare(states, ledger, (), 0.0, 0.0)) == ["lost-cancel"]
    assert "ticket" in freed(reconciler.compare(states, ledger, (), GRACE, GRACE))
    kept = reconciler.compare(states, ledger, {"ticket"}, 9.0, 9.0)
    assert freed(kept) == ["lost-cancel"]


@pytest.mark.parametrize(
    ("owner", "listed", "expected"),
    [
        (Owner("i1", "run1"), None, True),
        (Owner("i2", "x"), None, False),
        (Owner("i2", "x"), {"i1", "i2"}, False),
        (Owner("i2", "x"), {"i1"}, True),
    ],
    ids=["older run here", "list unknown", "other daemon lives", "other daemon gone"],
)
def test_job_of_another_run_is_freed_once_its_owner_is_gone(
    ledger, reconciler, owner, listed, expected
):
    states = (state("j", owner),)
    assert not reconciler.compare(states, ledger, (), 0.0, 0.0, listed).free
    later = reconciler.compare(states, ledger, (), GRACE, GRACE, listed)
    assert bool(later.free) is expected
    ancient = (state("j", owner, age=900.0),)
    assert reconciler.compare(ancient, ledger, (), 9.0, 9.0, listed).free


def test_lost_job_and_stuck_import_are_found(ledger, reconciler):
    ledger.add(stream("a"))
    ledger.assign_job("a", "job-a")
    assert not reconciler.compare((), ledger, (), 1.0, 1.0).lost
    ledger.confirm("a", 1.0)
    assert not reconciler.compare((), ledger, (), 2.0, 2.0).lost
    assert reconciler.compare((), ledger, (), 4.0, 4.0).lost == ("job-a",)
    stuck = (state("job-a", kind=JobKind.IMPORT, age=GRACE),)
    assert reconciler.compare(stuck, ledger, (), 6.0, 6.0).stuck == ("job-a",)


def test_long_and_low_priority_are_parked_first_and_resumed_in_order(ledger):
    for name, priority, actual in (("a", 1, 600), ("b", 9, 100), ("c", 9, 280)):
        ledger.add(stream(name, expected=10, priority=priority))
        ledger.grow(name, actual)
    victims = parking.choose_victims(ledger)
    assert [allocation.name for allocation in victims] == ["c"]
    ledger.park("c", 1.0)
    assert parking.choose_resumed(ledger) is None
    assert not ledger.fits(1)
    ledger.remove("a")
    assert parking.choose_resumed(ledger).name == "c"


def simulate(seed, park):
    """Run streams that all outgrow their estimates; return (finished, killed)."""
    random = Random(seed)
    ledger = Ledger(Invariants(strict=True), capacity=1000)
    lengths = {f"s{number}": random.randint(50, 500) for number in range(30)}
    waiting = list(lengths)
    finished, killed = 0, 0
    for now in range(20_000):
        if waiting and ledger.fits(120):
            ledger.add(stream(waiting.pop(), expected=120, priority=random.randint(0, 9)))
        resumed = parking.choose_resumed(ledger)
        if resumed:
            ledger.unpark(resumed.name)
        for allocation in list(ledger.allocations.values()):
            if allocation.parked:
                continue
            ledger.grow(allocation.name, max(allocation.actual, allocation.base) + 1)
            if allocation.actual - allocation.base >= lengths[allocation.name]:
                ledger.remove(allocation.name)
                finished += 1
        for victim in parking.choose_victims(ledger) if park else ():
            ledger.park(victim.name, now)
        while ledger.in_use > ledger.capacity:
            ledger.remove(
                max(ledger.allocations.values(), key=lambda allocation: allocation.priority).name
            )
            killed += 1
        if not waiting and not ledger.allocations:
            break
    return finished, killed


@given(st.integers(0, 10**6))
@settings(max_examples=20, derandomize=True, deadline=None)
def test_every_stream_finishes_when_all_estimates_are_too_low(seed):
    assert simulate(seed, park=True) == (30, 0)


def test_without_parking_streams_are_killed():
    assert simulate(1, park=False)[1] > 0
