"""Rows of entries that are gone hold up no news, and end; those of living entries never do."""

import asyncio
import random

import pytest

from persimmonstall.direct.crashing_parts import LostCall
from persimmonstall.direct.entry_rows import MAX_UNCHANGED_READS, RENEWAL_SECONDS, EntryRow
from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt
from persimmonstall.failures import Failure, Reason
from persimmonstall_daemon.direct.registration import MAX_REMOVED
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet, make_entry

NEWS_SECONDS = 0.5
DEAD_ROWS = 3000
START_SECONDS = 3.0


def dead_addresses(count):
    """Return addresses at which no entry is."""
    return [f"10.9.{number // 200}.{number % 200 + 1}:7340" for number in range(count)]


def find_out(entry):
    """Let an entry find a part that crashes endpoints, and begin an attempt."""
    now = entry.now()
    for number in range(2):
        at = now - 1.0 + number
        lost = [LostCall(f"c{number}", ("bad",), at)]
        entry.state.crash_tracker.parts.add_crash((f"e{number}", 1), lost, at)
    entry.loads.begin(InFlightAttempt("a-1", (EndpointDemand("e", 0.1, 10, 10, False, 0, 0, 1),)))
    entry.peers.schedule_beacon(True)


def knows(entry):
    """Return whether an entry knows the part and the attempt that another one has found."""
    state = entry.state
    return state.crash_tracker.parts.is_blocked("bad") and "a-1" in state.load_tracker.attempts


@pytest.mark.parametrize("count", [2, 8, 34])
def test_start_beside_thousands_of_dead_rows_exchanges_findings_and_loads_at_once(count):
    async def run():
        numbers = random.Random(count)
        fleet = GossipFleet(count, numbers)
        for entry in fleet.entries.values():
            listed = dead_addresses(DEAD_ROWS)
            numbers.shuffle(listed)
            for address in listed:
                entry.peers.add_peer(address)
        await asyncio.sleep(START_SECONDS)
        first, *others = fleet.entries.values()
        find_out(first)
        await asyncio.sleep(NEWS_SECONDS)
        fleet.stop()
        return [knows(entry) for entry in others]

    assert all(virtual_loop.run(run()))


class RowsDirectory:
    """Rows of entries with revisions; no call succeeds while it is `away`.

    `living` are the addresses whose rows must not be removed.
    """

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.away = False
        self.living = set()
        self.wrongly_removed = []

    def write(self, address):
        """Write a row."""
        self.revision += 1
        self.rows[address] = self.revision

    async def register(self, address):
        """Write a row and return the others."""
        await asyncio.sleep(0.01)
        if self.away:
            return Failure(Reason.STORE_DOWN, "store")
        self.write(address)
        rows = [EntryRow(*row) for row in self.rows.items() if row[0] != address]
        await asyncio.sleep(0.01)
        return tuple(rows)

    async def remove_entries(self, rows):
        """Remove rows if none was written since."""
        await asyncio.sleep(0.01)
        if self.away:
            return Failure(Reason.STORE_DOWN, "store")
        if any(self.rows.get(row.address) != row.revision for row in rows):
            return False
        for row in rows:
            del self.rows[row.address]
        self.wrongly_removed += [row.address for row in rows if row.address in self.living]
        return True

    async def disturb(self, numbers, entries):
        """Be away for a moment or for hours, and come back from an old copy at times."""
        again = set()
        while True:
            copy = dict(self.rows), self.revision
            await asyncio.sleep(numbers.uniform(1.0, 30.0))
            self.away = True
            await asyncio.sleep(numbers.choice((3.0, 600.0, 7200.0)))
            self.away = False
            if numbers.random() < 0.5:
                self.rows, self.revision = copy
                for entry in entries:
                    entry.peers.registration.rows.forget()
                    again.add(asyncio.create_task(entry.peers.registration.register()))
            await asyncio.sleep(numbers.uniform(1.0, 3 * RENEWAL_SECONDS))


def play_hours(seed, count, disturbed, hours):
    """Return the directory after entries that do not hear each other have kept their rows."""

    async def run():
        numbers, clock = random.Random(seed), asyncio.get_running_loop().time
        directory = RowsDirectory()
        for address in dead_addresses(3 * MAX_REMOVED):
            directory.write(address)
        entries = [make_entry(clock, f"10.0.0.{n + 1}:7340", seed + n) for n in range(count)]
        for entry in entries:
            entry.directory = directory
            directory.living.add(entry.peers.address)
        tasks = [asyncio.create_task(entry.peers.registration.run()) for entry in entries]
        tasks += [asyncio.create_task(entry.peers.registration.register()) for entry in entries]
        if disturbed:
            tasks.append(asyncio.create_task(directory.disturb(numbers, entries)))
        await asyncio.sleep(hours * 3600.0)
        for task in tasks:
            task.cancel()
        return directory

    return virtual_loop.run(run())


def test_rows_of_entries_that_are_gone_end():
    rounds = MAX_UNCHANGED_READS + 2 + 3
    directory = play_hours(1, 3, disturbed=False, hours=rounds * RENEWAL_SECONDS * 1.2 / 3600.0)
    assert set(directory.rows) == directory.living


@pytest.mark.parametrize("seed", range(30))
def test_row_of_a_living_entry_is_never_removed(seed):
    directory = play_hours(seed, 4, disturbed=True, hours=24.0)
    assert not directory.wrongly_removed


def test_row_of_an_entry_that_is_heard_stays_though_nothing_renews_it():
    async def run():
        entry = make_entry(asyncio.get_running_loop().time)
        entry.directory = directory = RowsDirectory()
        directory.write("10.0.0.2:7340")
        directory.write("10.0.0.3:7340")
        entry.peers.meet("10.0.0.2:7340")
        for _ in range(MAX_UNCHANGED_READS + 1):
            await entry.peers.registration.renew()
        return set(directory.rows)

    assert virtual_loop.run(run()) == {"10.0.0.1:7340", "10.0.0.2:7340"}
