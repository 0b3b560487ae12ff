import asyncio
from collections import Counter
from random import Random

import attrs
import pytest

from persimmonstall.catalogue import Model
from persimmonstall.catalogue.layout import LOG, log_key
from persimmonstall.catalogue.snapshot import decode_change
from persimmonstall.messages.control import CatalogueRequest
from persimmonstall.outside.table import Write
from persimmonstall_daemon.catalogue import NoPeers, compaction
from persimmonstall_daemon.catalogue.compaction import CatalogueCompactor
from persimmonstall_standins.faults import StoreFaults
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.virtual.loop import run

from .catalogue_site import Site, model

IN_FORCE_SECONDS = 4.0


def view(table):
    """Return a second way to `table`'s rows with faults of its own."""
    other = MemoryTable(StoreFaults())
    other.rows = table.rows
    other.keys = table.keys
    return other


async def change(site, number):
    """Make the change that leads to version `number` through the first follower's store."""
    store = site.store("a")
    answer = await store.change(model(number), number - 1, f"call{number}")
    assert answer.version == number


async def set_up(*names, changes=1):
    site = Site()
    for name in names:
        site.follow(name)
    for number in range(1, changes + 1):
        await change(site, number)
    await asyncio.sleep(IN_FORCE_SECONDS)
    return site


def test_a_change_is_in_force_in_every_daemon_within_4_seconds():
    async def main():
        site = await set_up("a", "b", "c", "d")
        for number in range(2, 30):
            await change(site, number)
            await asyncio.sleep(IN_FORCE_SECONDS)
            assert {one.version for one in site.followers.values()} == {number}
        await site.stop()

    run(main())


async def cut_off_from_the_table(hears):
    site = await set_up("a")
    table = view(site.table)
    cut = site.follow("b", table)
    await asyncio.sleep(IN_FORCE_SECONDS)
    table.faults.down = True
    await change(site, 2)
    await asyncio.sleep(0.1)
    if hears:
        site.gossip()
    await asyncio.sleep(IN_FORCE_SECONDS)
    await site.stop()
    return cut.version


def test_a_daemon_cut_off_from_the_table_follows_its_peers():
    assert run(cut_off_from_the_table(hears=True)) == 2


def test_without_versions_in_messages_a_daemon_cut_off_from_the_table_stays_behind():
    assert run(cut_off_from_the_table(hears=False)) == 1


async def restart_while_old_reads_are_served(peers):
    site = await set_up("a", "b")
    site.table.faults.serve_old = True
    await change(site, 2)
    site.gossip()
    await asyncio.sleep(1.0)
    assert site.followers["b"].version == 2
    again = site.follow("b", peers=peers)
    await asyncio.wait_for(again.ready.wait(), IN_FORCE_SECONDS)
    version = again.version
    await site.stop()
    return version


def test_a_restarted_daemon_never_serves_from_a_lower_version():
    assert run(restart_while_old_reads_are_served(None)) == 2


def test_without_asking_peers_a_restarted_daemon_reverts():
    assert run(restart_while_old_reads_are_served(NoPeers())) == 1


def test_a_daemon_that_starts_during_an_outage_takes_its_peers_catalogue():
    async def main():
        site = await set_up("a", changes=3)
        site.table.faults.down = True
        started = site.follow("b")
        await asyncio.wait_for(started.ready.wait(), IN_FORCE_SECONDS)
        assert started.current.get("model", "m").version == "3"
        await site.stop()

    run(main())


def test_a_daemon_that_starts_cut_off_from_everyone_is_not_ready():
    async def main():
        site = await set_up("a", changes=2)
        await site.objects.put("catalogue/snapshot/1", site.followers["a"].current.dump(), 1.0)
        site.table.faults.down = True
        started = site.follow("b", peers=NoPeers())
        await asyncio.sleep(60.0)
        assert started.version == 2 and not started.ready.is_set()
        site.table.faults.down = False
        await asyncio.wait_for(started.ready.wait(), IN_FORCE_SECONDS)
        await site.stop()

    run(main())


def test_a_running_daemon_that_is_cut_off_keeps_what_it_has():
    async def main():
        site = await set_up("a")
        follower = site.followers["a"]
        site.table.faults.down = True
        follower.note_version(9, "peer")
        await asyncio.sleep(60.0)
        assert follower.version == 1 and follower.ready.is_set()
        await site.stop()

    run(main())


@pytest.mark.parametrize("objects_down", [False, True])
def test_a_pruned_log_is_bridged_by_the_snapshot_or_the_rows(monkeypatch, objects_down):
    monkeypatch.setattr(compaction, "SNAPSHOT_EVERY", 8)
    monkeypatch.setattr(compaction, "KEPT_LOG", 2)

    async def main():
        site = await set_up("a")
        compactor = CatalogueCompactor(
            site.settings, site.table, site.objects, site.followers["a"]
        )
        task = asyncio.create_task(compactor.run())
        for number in range(2, 21):
            await change(site, number)
            await asyncio.sleep(IN_FORCE_SECONDS)
        site.objects.faults.down = objects_down
        assert len(site.table.scan_now("catalogue_log", "", "", 99)) < 20
        started = site.follow("b", peers=NoPeers())
        await asyncio.wait_for(started.ready.wait(), IN_FORCE_SECONDS)
        assert started.version == 20
        assert started.current.dump() == site.followers["a"].current.dump()
        task.cancel()
        await site.stop()

    run(main())


async def random_run(seed, seconds):
    """Operators race under random faults; no daemon goes back, and all agree in the end."""
    random = Random(seed)
    site = Site(seed)
    tables = {name: view(site.table) for name in "abcd"}
    for name in "abcd":
        site.follow(name, tables[name])
    accepted = {}
    counts = Counter()
    floor = dict.fromkeys("abcd", 0)

    async def operate(name):
        for number in range(10**6):
            await asyncio.sleep(random.expovariate(1.0))
            record = f"m{random.randrange(3)}"
            store = site.store(name, table=tables[name])
            stored = await store.read("model", record)
            if not hasattr(stored, "touched"):
                continue
            value = Model(record, version=f"{name}{number}")
            for _ in range(3):
                answer = await store.change(value, stored.touched, f"{name}{number}")
                counts["steps"] += 1
                if answer:
                    assert accepted.setdefault(answer.version, value) == value
                if answer or answer.reason != "outcome_unknown":
                    break

    operators = [asyncio.create_task(operate(name)) for name in "ab"]
    for _ in range(seconds):
        await asyncio.sleep(1.0)
        for table in tables.values():
            table.faults.down = random.random() < 0.1
            table.faults.delay = random.choice((0.0, 0.0, 0.4, 1.5))
            table.faults.lose_answers = random.random() < 0.15
            table.faults.apply_late = random.choice((0.0,) * 8 + (0.5, 7.0))
            counts["faults"] += sum(map(bool, attrs.astuple(table.faults)))
        site.gossip()
        if random.random() < 0.05:
            name = random.choice("cd")
            site.follow(name, tables[name])
            counts["faults"] += 1
        counts["steps"] += len(tables)
        for name, follower in site.followers.items():
            if follower.ready.is_set():
                assert follower.version >= floor[name]
                floor[name] = follower.version
    for task in operators:
        task.cancel()
    for table in tables.values():
        table.faults = StoreFaults()
    await asyncio.sleep(30.0)
    dumps = {follower.current.dump() for follower in site.followers.values()}
    await site.stop()
    assert len(dumps) == 1
    log = map(decode_change, (row.value for row in site.table.scan_now(LOG, "", "", 10**6)))
    logged = {change.version: change.value for change in log}
    assert {version: logged[version] for version in accepted} == accepted
    assert len(accepted) > seconds / 10
    return counts


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_never_revert_and_every_accepted_change_counts(seed, record_property):
    for name, count in run(random_run(seed, 200)).items():
        record_property(name, count)


def test_a_kind_of_a_newer_release_is_passed_on_and_a_malformed_row_stops_nothing():
    async def main():
        site = await set_up("a", changes=2)
        follower = site.followers["a"]
        body = b'[3,"later","x",{"name":"x"},"c",0.0]'
        later = [Write(LOG, log_key(3), 0, body), Write("config", "version", 2, b"3")]
        assert await site.table.commit(later, 1.0)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert follower.version == 3
        [passed_on] = follower.answer(CatalogueRequest(2)).records
        assert passed_on == body
        broken = [Write(LOG, log_key(4), 0, b"[4"), Write("config", "version", 3, b"4")]
        assert await site.table.commit(broken, 1.0)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert follower.version == 3 and not site.tasks["a"].done()
        await site.stop()

    run(main())


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(1000, 1040))
def test_long_random_faults_never_revert_and_every_accepted_change_counts(seed, record_property):
    for name, count in run(random_run(seed, 3000)).items():
        record_property(name, count)
