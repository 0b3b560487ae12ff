"""Endpoints and entries that leave get no new work and interrupt none, on virtual time."""

import asyncio
import hashlib

import pytest

from persimmonstall.catalogue.records import DrainMark
from persimmonstall.catalogue.snapshot import Change
from persimmonstall.invariants import Invariants
from persimmonstall.messages.control import Loads
from persimmonstall.outside.instances import Instance
from persimmonstall_daemon.endpoint.engine_backend import EngineBackend
from persimmonstall_daemon.entry.request import Answer
from persimmonstall_daemon.membership import LeavingTracker, Membership
from persimmonstall_standins.fleet import SECRET, Fleet, small_catalogue
from persimmonstall_standins.instances import MemoryInstances
from persimmonstall_standins.virtual.loop import run

NOTICE_SECONDS = 6.0
INTERVAL = 0.1


class LeavingFleet(Fleet):
    """Three endpoint daemons and two entries that read one list of instances, which lags."""

    async def begin(self):
        self.list = MemoryInstances()
        self.tasks = []
        self.watches = {}
        for index in range(3):
            await self.join(f"d{index}")
        for index in range(2):
            entry = await self.add_entry(f"e{index}")
            entry.membership.instances = self.list
            self.keep(entry.membership.run())
            self.keep(entry.tick())
        await asyncio.sleep(3)

    async def join(self, name):
        daemon = await self.add_endpoint(name)
        membership = Membership(
            daemon.settings,
            daemon.context,
            Invariants(strict=True),
            daemon.metrics,
            self.list,
            daemon.backends,
        )
        watch = self.watches[name] = LeavingTracker(daemon, membership)
        membership.subscribe(watch.update)
        self.keep(membership.run())

    def keep(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def load(self, seconds, tokens=400):
        """Send requests through both entries at a fixed rate and return their outcomes."""
        pending = []
        for number in range(int(seconds / INTERVAL)):
            entry = self.entries[number % 2]
            pending.append(asyncio.create_task(self.send_request(entry, len(self.seen), tokens)))
            self.seen.append(number)
            await asyncio.sleep(INTERVAL)
        return await asyncio.gather(*pending)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.stop()


def scenario(steps):
    async def main():
        fleet = LeavingFleet(small_catalogue(hashlib.sha256(SECRET.encode()).hexdigest()))
        fleet.seen = []
        await fleet.begin()
        try:
            return await steps(fleet)
        finally:
            await fleet.end()

    return run(main())


def accepted(fleet, name):
    return fleet.daemons[name].backends[name].accepted


async def reported_by_list(fleet):
    fleet.list.mark_leaving("d0")


async def reported_by_list_only(fleet):
    """The daemon ignores the list, so that only the entries learn from it."""
    fleet.watches["d0"].update = lambda: None
    fleet.watches["d0"].membership.subscribers.clear()
    fleet.list.mark_leaving("d0")


async def reported_by_drain_mark(fleet):
    fleet.catalogue.apply(Change(fleet.catalogue.version + 1, "drain", "d0", DrainMark("d0")))


async def reported_by_daemon_without_the_list(fleet):
    for entry in fleet.entries:
        entry.membership.instances = MemoryInstances()
        entry.membership.on_list = lambda found: None
    fleet.daemons["d0"].leave()


REPORTS = [
    reported_by_list,
    reported_by_list_only,
    reported_by_drain_mark,
    reported_by_daemon_without_the_list,
]


@pytest.mark.parametrize("report", REPORTS, ids=lambda report: report.__name__)
def test_a_leaving_endpoint_gets_no_new_work_after_a_few_seconds(report):
    async def steps(fleet):
        before = await fleet.load(3)
        await report(fleet)
        during = await fleet.load(NOTICE_SECONDS)
        count = accepted(fleet, "d0")
        after = await fleet.load(5)
        assert count > 5
        assert accepted(fleet, "d0") == count
        assert all(isinstance(one, Answer) for one in before + during + after)

    scenario(steps)


@pytest.mark.parametrize("report", REPORTS, ids=lambda report: report.__name__)
def test_with_the_mechanism_off_it_gets_new_work(report, monkeypatch):
    async def steps(fleet):
        for entry in fleet.entries:
            entry.membership.view.update_leaving = lambda: None
            entry.placer.on_leaving = lambda endpoints: None
            entry.placer.on_loads = lambda instance, loads, now: None
        monkeypatch.setattr(EngineBackend, "leave", lambda backend: Loads(()))
        await report(fleet)
        await fleet.load(NOTICE_SECONDS)
        count = accepted(fleet, "d0")
        await fleet.load(5)
        assert accepted(fleet, "d0") > count

    scenario(steps)


def test_a_leaving_daemon_refuses_new_work_at_once():
    async def steps(fleet):
        load = asyncio.create_task(fleet.load(3))
        await asyncio.sleep(1)
        fleet.daemons["d0"].leave()
        count = accepted(fleet, "d0")
        outcomes = await load
        assert accepted(fleet, "d0") == count
        assert all(isinstance(one, Answer) for one in outcomes)

    scenario(steps)


def test_an_endpoint_daemon_follows_drain_marks_by_itself():
    class Follower:
        def __init__(self, catalogue):
            self.current = catalogue
            self.queue = asyncio.Queue()

        def subscribe(self):
            return self.queue

        def apply(self, mark):
            self.current.apply(Change(self.current.version + 1, "drain", "d0", mark))
            self.queue.put_nowait(None)

    async def steps(fleet):
        follower = Follower(fleet.catalogue)
        fleet.keep(fleet.watches["d0"].follow(follower))
        backend = fleet.daemons["d0"].backends["d0"]
        follower.apply(DrainMark("d0"))
        await asyncio.sleep(0.1)
        assert backend.leaving
        follower.apply(None)
        await asyncio.sleep(0.1)
        assert not backend.leaving

    scenario(steps)


def test_an_undrained_endpoint_gets_work_again():
    async def steps(fleet):
        await reported_by_drain_mark(fleet)
        await fleet.load(NOTICE_SECONDS)
        count = accepted(fleet, "d0")
        fleet.catalogue.apply(Change(fleet.catalogue.version + 1, "drain", "d0", None))
        await fleet.load(5)
        assert accepted(fleet, "d0") > count

    scenario(steps)


@pytest.mark.parametrize("graceful", [True, False])
def test_a_rolling_replacement_cuts_no_request(graceful):
    """Without a drain the same replacement interrupts requests or causes retries."""

    async def replace(fleet, old, new):
        await fleet.join(new)
        await asyncio.sleep(5)
        daemon = fleet.daemons.pop(old)
        if graceful:
            daemon.leave()
            await fleet.watches[old].membership.leave()
            await daemon.drain()
        await daemon.stop()
        fleet.fabric.kill(f"{old}:1")

    async def steps(fleet):
        load = asyncio.create_task(fleet.load(30))
        giant = asyncio.create_task(fleet.send_request(fleet.entries[0], 9_000_000, 40_000))
        await asyncio.sleep(1)
        for index in range(3):
            await replace(fleet, f"d{index}", f"n{index}")
        outcomes = [*await load, await giant]
        interrupted = sum(1 for one in outcomes if not isinstance(one, Answer) or one.attempts > 2)
        retried = sum(entry.metrics.totals["attempts_failed.peer_lost"] for entry in fleet.entries)
        if graceful:
            assert (interrupted, retried) == (0, 0)
        else:
            assert interrupted + retried > 0

    scenario(steps)


def test_an_entry_that_leaves_serves_on_until_the_balancer_has_noticed():
    async def steps(fleet):
        entry = fleet.entries[0]
        load = asyncio.create_task(fleet.load(1))
        await asyncio.sleep(0.3)
        drained = asyncio.create_task(entry.drain())
        await asyncio.sleep(0.1)
        assert not entry.readiness().ready
        outcomes = await load
        assert not drained.done()
        await drained
        assert all(isinstance(one, Answer) for one in outcomes)
        assert entry.active_requests == 0

    scenario(steps)


def test_a_list_out_of_reach_leaves_the_view_as_it_is():
    async def steps(fleet):
        entry = fleet.entries[0]
        before = entry.membership.view.known_instances("endpoint")
        fleet.list.faults.down = True
        await asyncio.sleep(30)
        assert entry.membership.view.known_instances("endpoint") == before
        assert isinstance(before[0], Instance)

    scenario(steps)
