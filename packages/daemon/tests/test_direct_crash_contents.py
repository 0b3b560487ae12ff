"""Content that crashes engines and comes again after entries restarted, on virtual time."""

import asyncio
import itertools
import random

import attrs
import pytest

from persimmonstall.direct.content_crashes import (
    BLOCK_CRASHES,
    BLOCK_SECONDS,
    MAX_EXCUSED,
    TRIAL_SECONDS,
)
from persimmonstall.direct.crash_record import CrashRecord, RecordKind
from persimmonstall.direct.crash_tracker import (
    MAX_CONTENTS_SENT,
    MAX_LIFETIMES_SENT,
    MAX_RECORDS,
    CrashTracker,
)
from persimmonstall.direct.messages import Endpoint
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet
from .test_direct_crashes import PartCall

START_SECONDS = 3.0
"""Time after which an entry that was started counts as undisturbed."""

SAVED_SECONDS = 1.5
"""Time after a finding within which it has to be in the directory."""

SPREAD_SECONDS = 0.1
"""Time in which a finding reaches the other entries."""

MAX_CALLED = 8
ATTEMPTS = 2
ALLOWED_CRASHES = 3
"""Number of crashes up to which more calls with the content may reach engines."""

TRIAL_CRASHES = ALLOWED_CRASHES - BLOCK_CRASHES
"""Number of crashes of a blocked content by its trials."""

BAD = "0bad"


@attrs.define
class Caller:
    """Sends the same content again and again; `crashes` counts the engines that it crashed."""

    fleet: GossipFleet
    crashes: int = 0
    number: itertools.count = attrs.field(factory=itertools.count)

    async def call(self, entry, content=BAD):
        """Send a content to an entry, which makes as many attempts as a route allows."""
        call = PartCall(content, ())
        reporter = entry.crash_reporter
        if await reporter.check(call) is not None:
            return
        for attempt in range(ATTEMPTS):
            if attempt and not reporter.may_retry(call):
                return
            await self.crash(entry, content)

    async def crash(self, entry, content=BAD):
        """Crash one engine that runs a content."""
        self.crashes += 1
        endpoint = Endpoint(f"e{next(self.number)}", "llm", "10.0.9.9:80", born=1, slots=8)
        now = self.fleet.clock()
        tracker = entry.state.crash_tracker
        tracker.record_lost_connection(content, endpoint.lifetime, now)
        await asyncio.sleep(0.02)
        entry.crash_reporter.record_crash(endpoint)

    async def call_all(self):
        """Send the content to each entry, or to some of many."""
        for entry in list(self.fleet.entries.values())[:MAX_CALLED]:
            await self.call(entry)
            await asyncio.sleep(SPREAD_SECONDS)


def run_fleet(scenario, count=2, seed=1, loss=0.0):
    """Run `scenario(fleet, caller)` on a fleet of `count` entries."""

    async def run():
        fleet = GossipFleet(count, random.Random(seed), loss)
        await asyncio.sleep(START_SECONDS)
        await scenario(fleet, Caller(fleet))
        fleet.stop()

    virtual_loop.run(run())


async def restart_all(fleet):
    """Kill all entries at once, and start them again."""
    for address in list(fleet.entries):
        fleet.kill(address)
    for address in fleet.addresses:
        fleet.start(address)
    await asyncio.sleep(START_SECONDS)


def kept(fleet):
    """Return the contents that the directory keeps."""
    return set(fleet.directory.records[RecordKind.CONTENT])


@pytest.mark.parametrize("count", [1, 8, 34])
def test_content_that_crashed_engines_is_refused_after_all_entries_were_killed(count):
    async def scenario(fleet, caller):
        for _ in range(2):
            await caller.call_all()
            await asyncio.sleep(SAVED_SECONDS)
            await restart_all(fleet)
        await caller.call_all()
        assert caller.crashes <= ALLOWED_CRASHES

    run_fleet(scenario, count)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_content_stays_refused_while_entries_are_killed_one_after_the_other(loss):
    async def scenario(fleet, caller):
        await caller.call_all()
        for _ in range(3):
            for address in fleet.addresses:
                fleet.kill(address)
                await caller.call_all()
                await asyncio.sleep(0.7)
                fleet.start(address)
                await asyncio.sleep(0.1)
        assert caller.crashes <= ALLOWED_CRASHES

    run_fleet(scenario, count=8, loss=loss)


def test_content_stays_refused_although_many_other_crashes_follow():
    async def scenario(fleet, caller):
        await caller.call_all()
        first, second = fleet.entries.values()
        for number in range(4 * MAX_CONTENTS_SENT):
            await caller.crash(first, f"c{number}")
        crashes = caller.crashes
        fleet.directory.records[RecordKind.CONTENT].clear()
        fleet.directory.away = True
        address = second.settings.daemon.address
        fleet.kill(address)
        fleet.start(address)
        await asyncio.sleep(START_SECONDS)
        await caller.call_all()
        assert caller.crashes <= crashes + TRIAL_CRASHES

    run_fleet(scenario)


def test_finding_is_saved_once_and_only_if_it_is_proved():
    async def scenario(fleet, caller):
        first = fleet.random_entry()
        before = fleet.directory.writes
        for number in range(20):
            await caller.crash(first, f"c{number}")
        await asyncio.sleep(SAVED_SECONDS)
        assert fleet.directory.writes == before
        await caller.call(first)
        await asyncio.sleep(3 * SAVED_SECONDS)
        assert kept(fleet) == {BAD}
        assert fleet.directory.writes == before + 1

    run_fleet(scenario, count=34)


def test_finding_is_saved_when_the_directory_is_back():
    async def scenario(fleet, caller):
        fleet.directory.away = True
        await caller.call_all()
        await asyncio.sleep(5.0)
        fleet.directory.away = False
        await asyncio.sleep(3.0)
        assert kept(fleet) == {BAD}
        await restart_all(fleet)
        await caller.call_all()
        assert caller.crashes <= ALLOWED_CRASHES

    run_fleet(scenario)


def test_finding_is_read_when_the_directory_is_back():
    async def scenario(fleet, caller):
        await caller.call_all()
        await asyncio.sleep(SAVED_SECONDS)
        fleet.directory.away = True
        await restart_all(fleet)
        fleet.directory.away = False
        await asyncio.sleep(3.0)
        await caller.call_all()
        assert caller.crashes <= ALLOWED_CRASHES

    run_fleet(scenario, count=8)


def test_finding_that_a_restored_directory_lost_is_saved_again():
    async def scenario(fleet, caller):
        await caller.call_all()
        await asyncio.sleep(SAVED_SECONDS)
        fleet.directory.records[RecordKind.CONTENT].clear()
        for entry in fleet.entries.values():
            entry.crash_records.write_again()
        await asyncio.sleep(SAVED_SECONDS)
        assert kept(fleet) == {BAD}

    run_fleet(scenario, count=8)


def test_finding_of_an_entry_that_died_before_it_saved_is_saved_by_another():
    async def scenario(fleet, caller):
        finder = fleet.random_entry()
        await caller.call(finder)
        await asyncio.sleep(0.05)
        owner = finder.ownership.owner(BAD)
        fleet.kill(owner)
        assert not kept(fleet)
        await asyncio.sleep(START_SECONDS + SAVED_SECONDS)
        assert kept(fleet) == {BAD}

    run_fleet(scenario, count=8)


def test_finding_that_was_saved_after_the_start_is_read_at_the_first_crash():
    async def scenario(fleet, caller):
        record = CrashRecord(BAD, 2, (("x1", 1), ("x2", 1)))
        await fleet.directory.write_crash_records(RecordKind.CONTENT, (record,), ())
        entry = fleet.random_entry()
        await caller.crash(entry)
        await asyncio.sleep(SAVED_SECONDS)
        await caller.call_all()
        assert caller.crashes == 1

    run_fleet(scenario, count=8)


def test_records_are_removed_after_a_while_by_one_entry():
    async def scenario(fleet, caller):
        await caller.call_all()
        await asyncio.sleep(BLOCK_SECONDS - 100.0)
        await restart_all(fleet)
        assert kept(fleet) == {BAD}
        before = fleet.directory.writes
        await asyncio.sleep(110.0)
        assert not kept(fleet)
        assert fleet.directory.writes == before + 1

    run_fleet(scenario)


def test_records_are_bounded_in_number_and_size():
    async def scenario(fleet, caller):
        entry = fleet.random_entry()
        for number in range(2 * MAX_RECORDS):
            for _ in range(BLOCK_CRASHES):
                await caller.crash(entry, f"c{number}")
        for _ in range(10):
            await caller.crash(entry, BAD)
        await asyncio.sleep(5.0)
        rows = fleet.directory.records[RecordKind.CONTENT]
        assert len(rows) <= MAX_RECORDS
        assert max(len(record.lifetimes) for record, _ in rows.values()) <= MAX_LIFETIMES_SENT
        await restart_all(fleet)
        assert entry is not fleet.random_entry()
        assert fleet.random_entry().state.crash_tracker.is_blocked(BAD, fleet.clock())

    run_fleet(scenario)


def test_content_that_was_answered_is_tried_at_once_but_not_after_its_third_crash():
    tracker = CrashTracker()
    tracker.record_whole("often", 0.0)
    for number in range(BLOCK_CRASHES):
        assert not tracker.is_blocked("often", 5.0)
        tracker.add_crashes("often", ((f"e{number}", 1),), 5.0)
    assert tracker.is_blocked("often", 5.0)
    assert tracker.trial_wait("often", True, 5.0) == 0.0
    tracker.start_trial("often", 5.0)
    assert tracker.trial_wait("often", True, 5.0) == 2 * TRIAL_SECONDS
    tracker.add_crashes("often", (("e9", 1),), 6.0)
    assert tracker.trial_wait("often", True, 7.0) == BLOCK_SECONDS - 1.0


def test_complete_answer_excuses_the_crashes_before_it_at_all_entries():
    tracker, other = CrashTracker(), CrashTracker()
    crashes = (("beside", (("e1", 1), ("e2", 1))),)
    tracker.merge_remote(crashes, 1.0)
    assert tracker.record_whole("beside", 2.0)
    other.merge_remote(crashes, 2.0)
    other.merge_excused(tracker.excused_changes(), 2.0)
    tracker.merge_remote(crashes, 3.0)
    assert not tracker.is_blocked("beside", 3.0)
    assert not other.is_blocked("beside", 3.0)
    other.add_crashes("beside", (("e3", 1), ("e4", 1)), 4.0)
    assert other.is_blocked("beside", 4.0)


def test_excused_crashes_of_a_content_are_bounded():
    tracker = CrashTracker()
    for number in range(5 * MAX_EXCUSED):
        tracker.add_crashes("often", ((f"e{number}", 1),), float(number))
        tracker.record_whole("often", float(number))
    ((_, excused),) = tracker.excused_state()
    assert len(excused) <= MAX_EXCUSED + 1


def test_content_beside_another_one_is_not_blocked_for_its_crashes():
    tracker = CrashTracker()
    for number in range(3):
        tracker.add_crashes(BAD, ((f"e{number}", 1),), 1.0)
    for number in range(2):
        tracker.add_crashes("beside", ((f"e{number}", 1),), 1.0)
    assert tracker.is_blocked(BAD, 2.0)
    assert not tracker.is_blocked("beside", 2.0)


def test_record_that_is_older_than_the_news_of_it_ends_the_block_in_time():
    tracker = CrashTracker()
    lifetimes = (("e1", 1), ("e2", 1))
    tracker.merge_remote(((BAD, lifetimes),), 1000.0)
    tracker.add_record(CrashRecord(BAD, 2, lifetimes, age=BLOCK_SECONDS - 10.0), 1000.0)
    assert tracker.is_blocked(BAD, 1009.0)
    assert not tracker.is_blocked(BAD, 1011.0)


@pytest.mark.parametrize(
    ("lifetimes", "age"), [((), 0.0), ((("e1", 1),), 0.0), ((("e1", 1), ("e2", 1)), 601.0)]
)
def test_record_that_proves_nothing_or_is_old_blocks_nothing(lifetimes, age):
    tracker = CrashTracker()
    tracker.add_record(CrashRecord(BAD, 9, lifetimes, age), 1000.0)
    assert not tracker.is_blocked(BAD, 1000.0)
