"""Whole daemons on virtual time: changes reach every daemon and are never reverted."""

import asyncio

import pytest

from persimmonstall.catalogue import DrainMark, Model
from persimmonstall.outside.instances import Instance
from persimmonstall_daemon.admin.entry_view import EntryView
from persimmonstall_daemon.catalogue import CatalogueStore
from persimmonstall_standins.faults import StoreFaults
from persimmonstall_standins.fleet import Fleet
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.virtual.loop import run

PROPAGATION_SECONDS = 4.0
ENTRIES = ("n0", "n1")
ENDPOINTS = ("e0", "e1", "e2")


def table_view(table):
    """Return a second access path to the rows of `table`, with its own faults."""
    view = MemoryTable(StoreFaults())
    view.rows = table.rows
    view.keys = table.keys
    return view


class Scenario:
    """Two entries and three endpoint daemons that follow the catalogue of one table."""

    def __init__(self, catalogue):
        self.fleet = Fleet(catalogue, table=MemoryTable())

    async def start(self):
        for name in (*ENTRIES, *ENDPOINTS):
            self.fleet.tables[name] = table_view(self.fleet.table)
        for name in ENDPOINTS:
            await self.fleet.add_endpoint(name)
        for name in ENTRIES:
            await self.fleet.add_entry(name)
        await asyncio.sleep(PROPAGATION_SECONDS)
        return self

    @property
    def daemons(self):
        return (*self.fleet.entries, *self.fleet.daemons.values())

    def faults(self, *names):
        return [self.fleet.tables[name].faults for name in names]

    def store(self, number=0):
        entry = self.fleet.entries[number]
        table = self.fleet.tables[entry.settings.daemon.instance]
        return CatalogueStore(entry.settings, table, entry.context, entry.follower)

    def versions(self):
        return [daemon.catalogue_version for daemon in self.daemons]


@pytest.fixture
def on_table(catalogue):
    def start(body):
        async def main():
            scenario = await Scenario(catalogue).start()
            try:
                return await body(scenario)
            finally:
                await scenario.fleet.stop()

        return run(main())

    return start


@pytest.mark.parametrize("delay", [0.0, 0.5, 0.9])
def test_a_change_reaches_every_daemon(on_table, delay):
    async def body(scenario):
        for faults in scenario.faults(*ENTRIES, *ENDPOINTS):
            faults.delay = delay
        answer = await scenario.store().change(Model("m"), 0, "a")
        await asyncio.sleep(PROPAGATION_SECONDS)
        assert scenario.versions() == [answer.version] * 5
        entry = scenario.fleet.entries[0]
        other = Instance("n1", "entry", "n1:1", "dc1")
        entry.membership.on_list((*scenario.fleet.instances, other))
        seen = await EntryView(entry).daemons()
        assert {one.instance for one in seen} == {*ENTRIES, *ENDPOINTS}
        assert {one.version for one in seen} == {answer.version}

    on_table(body)


@pytest.mark.parametrize("fault", ["down", "serve_old"])
@pytest.mark.parametrize("linked", [True, False])
def test_daemons_cut_off_from_the_table_follow_over_their_links(on_table, fault, linked):
    """Without the versions in the links' messages, the daemons stay out of date."""

    async def body(scenario):
        for faults in scenario.faults("n1", *ENDPOINTS):
            setattr(faults, fault, True)
        if fault == "serve_old":
            for name in ("n1", *ENDPOINTS):
                table = scenario.fleet.tables[name]
                table.old_rows = dict(table.rows)
        if not linked:
            for daemon in scenario.daemons:
                daemon.follower.note_version = lambda version, peer="": None
        answer = await scenario.store().change(Model("m"), 0, "a")
        await asyncio.sleep(PROPAGATION_SECONDS)
        return set(scenario.versions()) == {answer.version}

    assert on_table(body) is linked


def test_a_daemon_restarted_during_an_outage_loads_the_active_catalogue(on_table):
    async def body(scenario):
        await scenario.store().change(Model("m"), 0, "a")
        await scenario.store().change(DrainMark("e0"), 0, "b")
        await asyncio.sleep(PROPAGATION_SECONDS)
        for faults in scenario.faults(*ENTRIES, *ENDPOINTS):
            faults.down = True
        scenario.fleet.tables["n2"] = table_view(scenario.fleet.table)
        scenario.fleet.tables["n2"].faults.down = True
        started = await scenario.fleet.add_entry("n2")
        await asyncio.wait_for(started.follower.ready.wait(), PROPAGATION_SECONDS)
        assert started.catalogue_version == 2 and started.catalogue.get("drain", "e0")
        assert started.readiness().ready

    on_table(body)


def test_an_entry_restarted_on_stale_reads_is_not_ready_below_its_peers_version(on_table):
    async def body(scenario):
        await scenario.store().change(Model("m"), 0, "a")
        scenario.fleet.tables["n2"] = table_view(scenario.fleet.table)
        scenario.fleet.tables["n2"].faults.serve_old = True
        scenario.fleet.tables["n2"].old_rows = dict(scenario.fleet.table.rows)
        await scenario.store().change(Model("m", version="2"), 1, "b")
        await asyncio.sleep(PROPAGATION_SECONDS)
        started = await scenario.fleet.add_entry("n2")
        await asyncio.wait_for(started.follower.ready.wait(), PROPAGATION_SECONDS)
        assert started.catalogue_version == 2

    on_table(body)


def test_concurrent_changes_at_two_entries_with_a_slow_table(on_table):
    async def body(scenario):
        for faults in scenario.faults(*ENTRIES):
            faults.delay = 0.5
        calls = [
            scenario.store(number).change(Model("m", version=str(number)), 0, f"call{number}")
            for number in (0, 1)
        ]
        answers = await asyncio.gather(*calls)
        won = next(number for number, answer in enumerate(answers) if answer)
        lost = answers[1 - won]
        assert not lost and lost.current == 1
        await asyncio.sleep(PROPAGATION_SECONDS)
        models = {daemon.follower.current.get("model", "m").version for daemon in scenario.daemons}
        assert models == {str(won)}

    on_table(body)
