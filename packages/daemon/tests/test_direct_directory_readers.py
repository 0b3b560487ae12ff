"""Few entries of a large fleet read the directory; the others learn of changes in time."""

import asyncio
import random

import pytest

from persimmonstall.direct.beacon_pacing import BeaconPacer
from persimmonstall.direct.messages import Configuration, Endpoint
from persimmonstall.direct.updates import (
    ConfigurationUpdate,
    EndpointChange,
    EndpointUpdate,
    EvacuationChange,
    EvacuationUpdate,
    ReachabilityUpdate,
)
from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.direct import PollTimes, Rows, TableStore
from persimmonstall_daemon.direct.entry import DIRECTORY_SOURCE
from persimmonstall_daemon.direct.table_follower import TableFollower
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet

APPLY_SECONDS = 2.0
"""Time in which a change has to apply, the default of `configuration_ms`."""

SETTLE_SECONDS = 4.0
LOSS = 0.05


class VersionedDirectory:
    """A directory with a configuration, an endpoint and an evacuation, all of the same version.

    It does not answer entries in `turned_away`, and nobody while it is `down`.  Calls that were
    open when it fell silent for the last of `silences` times are never answered.
    """

    def __init__(self):
        self.version = 1
        self.calls = 0
        self.turned_away = set()
        self.down = False
        self.silences = 0
        self.changed = asyncio.Event()

    def change(self):
        """Change all three."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def silence_open_calls(self):
        """Let the connections of all open calls fall silent for good."""
        self.silences += 1

    def answers(self, address):
        """Return whether it answers an entry."""
        return not self.down and address not in self.turned_away

    async def follow(self, entry):
        """Follow it for an entry."""
        port = DirectoryPort(self, entry.settings.daemon.address)
        follower = TableFollower(
            "all", port, entry.clock, entry.readers, decode, entry.apply_update
        )
        await follower.run()


class DirectoryPort(TableStore):
    """The directory as the entry at `address` reaches it."""

    def __init__(self, directory, address):
        self.directory = directory
        self.address = address

    async def read(self, table):
        """Return the newest version."""
        return await self.changes(table, 0, PollTimes(0.0, 1.0))

    async def changes(self, _table, revision, times):
        """Return the newest version, once it is newer than `revision` or the wait is over."""
        directory = self.directory
        directory.calls += 1
        silences = directory.silences
        if directory.answers(self.address) and revision == directory.version:
            changed = asyncio.ensure_future(directory.changed.wait())
            await asyncio.wait([changed], timeout=times.wait)
            if silences != directory.silences:
                await asyncio.sleep(times.wait + times.answer)
                return Failure(Reason.STORE_DOWN, "store")
        if not directory.answers(self.address):
            return Failure(Reason.STORE_DOWN, "store")
        version = directory.version
        return Rows((version,) if version > revision else (), version, version)


class FullLinkPacer(BeaconPacer):
    """A pacer whose share of the links is used up for long."""

    def wait(self, now):
        """Return the seconds until beacons may be sent again."""
        return 5.0


def data_centre(version):
    """Return the data centre that is evacuated in a version."""
    return f"dc{version}"


def decode(rows, _whole, _restored):
    """Return the updates of a version."""
    version = rows.revision
    return (
        EvacuationUpdate((EvacuationChange(data_centre(version), True),), version, whole=True),
        ConfigurationUpdate(Configuration(version, (), {})),
        endpoint_update(version),
    )


def endpoint_update(version):
    """Return a list with one endpoint, which has just started again."""
    endpoint = Endpoint("e", "llm", "10.0.0.9:80", born=version, slots=8)
    return EndpointUpdate((EndpointChange("e", endpoint),), version, whole=True)


def connect(fleet, directory, addresses):
    """Let entries of a fleet follow a directory and fetch from each other; return the tasks."""
    tasks = []
    for entry in [fleet.entries[address] for address in addresses]:

        def apply_update(update, source=DIRECTORY_SOURCE, entry=entry):
            changed = entry.state.apply_update(update, entry.now())
            if changed and isinstance(update, EvacuationUpdate):
                entry.evacuations.record_change(source)
            elif changed and source == DIRECTORY_SOURCE:
                entry.peers.announce()
            elif changed:
                entry.peers.schedule_beacon(True)

        async def fetch(peer, entry=entry, apply_update=apply_update):
            if fleet.numbers.random() < fleet.lost_fetches:
                await asyncio.sleep(entry.readers.rule.fetch_seconds)
                return False
            await asyncio.sleep(0.01)
            other = fleet.entries.get(peer.address)
            if other is None or not fleet.network.ports[peer.address].open:
                return False
            version, revision = entry.state.versions()
            if other.state.configuration.version > version:
                apply_update(ConfigurationUpdate(other.state.configuration), peer.address)
            if other.state.fleet.revision > revision:
                apply_update(other.peers.snapshots.endpoints_since(revision), peer.address)
            return True

        entry.apply_update = apply_update
        entry.peers.snapshots.fetch = fetch
        tasks.append(asyncio.ensure_future(directory.follow(entry)))
    return tasks


def play(count, scenario, seed=1):
    """Run `scenario(fleet, directory)` once the entries know each other; return its result."""

    async def run():
        fleet = GossipFleet(count, random.Random(seed), LOSS)
        fleet.lost_fetches = 0.0
        directory = VersionedDirectory()
        fleet.tasks_of_directory = connect(fleet, directory, fleet.addresses)
        await asyncio.sleep(SETTLE_SECONDS)
        result = await scenario(fleet, directory)
        for task in fleet.tasks_of_directory:
            task.cancel()
        fleet.stop()
        return result

    return virtual_loop.run(run())


def informed_share(fleet, directory):
    """Return the share of the entries that have the newest version of all three."""
    newest = (directory.version, directory.version, {data_centre(directory.version)})
    known = [
        (*entry.state.versions(), set(entry.state.evacuations.since))
        for entry in fleet.entries.values()
    ]
    return known.count(newest) / len(known)


def readers(fleet):
    """Return the addresses of the entries that read."""
    return [address for address, entry in fleet.entries.items() if not entry.readers.told]


CROSSING_SEEDS = [1, 2, *(pytest.param(seed, marks=pytest.mark.soak) for seed in range(3, 9))]
FLEETS = [2, 18, 68, pytest.param(300, marks=pytest.mark.soak)]


@pytest.mark.parametrize("count", FLEETS)
def test_change_reaches_all_entries_in_time(count):
    async def scenario(fleet, directory):
        directory.change()
        await asyncio.sleep(APPLY_SECONDS)
        return informed_share(fleet, directory)

    assert play(count, scenario) == 1.0


SILENT_FLEETS = [
    (1, 0.0),
    (1, 0.7),
    (8, 0.0),
    (8, 1.3),
    (12, 0.3),
    (13, 0.0),
    (14, 0.7),
    (40, 0.3),
]
SILENT_FLEETS += [
    pytest.param(count, seconds, marks=pytest.mark.soak)
    for count in (2, 8, 12, 13, 14, 20, 40)
    for seconds in (0.1, 0.5, 0.9, 1.2)
]


@pytest.mark.parametrize(("count", "silent_before"), SILENT_FLEETS)
def test_change_reaches_all_entries_in_time_when_every_open_call_fell_silent(count, silent_before):
    """With fewer than 13 entries a silent call was given up after 3.3 s."""

    async def scenario(fleet, directory):
        directory.change()
        await asyncio.sleep(0.2)
        directory.silence_open_calls()
        await asyncio.sleep(silent_before)
        directory.change()
        await asyncio.sleep(APPLY_SECONDS)
        return informed_share(fleet, directory)

    assert play(count, scenario) == 1.0


@pytest.mark.parametrize("seed", CROSSING_SEEDS)
def test_change_reaches_all_entries_in_time_while_their_number_crosses_that_of_few_readers(seed):
    async def scenario(fleet, directory):
        late = fleet.addresses[11:]
        for address in late:
            fleet.kill(address)
        await asyncio.sleep(5.0)
        shares = []
        for address in late:
            fleet.start(address)
            fleet.tasks_of_directory += connect(fleet, directory, [address])
            await asyncio.sleep(fleet.numbers.uniform(0.0, 1.0))
            directory.silence_open_calls()
            directory.change()
            await asyncio.sleep(APPLY_SECONDS)
            shares.append(informed_share(fleet, directory))
        for address in late:
            fleet.kill(address)
            directory.change()
            await asyncio.sleep(APPLY_SECONDS)
            shares.append(informed_share(fleet, directory))
        return shares

    assert set(play(14, scenario, seed)) == {1.0}


@pytest.mark.parametrize("seed", [1, 3, 4, 5])
def test_configuration_is_fetched_from_a_peer_that_has_it_while_endpoints_change(seed):
    """It was fetched from a peer that only had newer endpoints, and the wait began anew."""

    async def scenario(fleet, directory):
        late, holder, *others = fleet.entries.values()
        directory.turned_away.update(fleet.addresses)
        late.state.unreachable_since = None
        late.apply_update(ReachabilityUpdate(True), "directory")
        holder.apply_update(ConfigurationUpdate(Configuration(9, (), {})), "directory")
        for entry in others:
            entry.peers.snapshots.fetch = never_fetched
        started = late.now()
        revision = 100
        while late.state.configuration.version < 9 and late.now() < started + 5.0:
            revision += 1
            for entry in others:
                entry.apply_update(endpoint_update(revision), "directory")
            await asyncio.sleep(0.1)
        return late.now() - started

    assert play(8, scenario, seed) <= 1.0


async def never_fetched(_peer):
    """Fetch nothing."""
    return False


@pytest.mark.parametrize("count", [18, 68])
def test_calls_to_the_directory_do_not_grow_with_the_number_of_entries(count):
    """Each entry read by itself: 13,001 calls of 68 entries on a quiet day."""

    async def scenario(fleet, directory):
        before = directory.calls
        for _ in range(10):
            directory.change()
            await asyncio.sleep(1.0)
        return directory.calls - before

    assert play(count, scenario) <= 150


@pytest.mark.parametrize("fault", ["killed", "turned_away"])
def test_readers_that_are_lost_do_not_keep_a_change_from_the_others(fault):
    async def scenario(fleet, directory):
        lost = readers(fleet)
        assert 0 < len(lost) <= 6
        for address in lost:
            if fault == "killed":
                fleet.kill(address)
            else:
                directory.turned_away.add(address)
        directory.change()
        await asyncio.sleep(APPLY_SECONDS)
        return informed_share(fleet, directory)

    assert play(68, scenario) == 1.0


HARMED_FLEETS = [(13, 1), (13, 2), (40, 3)]
HARMED_FLEETS += [
    pytest.param(count, seed, marks=pytest.mark.soak)
    for count in (40, 100, 400)
    for seed in (4, 5)
]


@pytest.mark.parametrize(("count", "seed"), HARMED_FLEETS)
def test_change_reaches_entries_that_the_directory_turns_away_while_links_are_full(count, seed):
    """A third is turned away, readers among them, some restart, and a tenth of fetches is lost."""

    async def scenario(fleet, directory):
        numbers = fleet.numbers
        fleet.lost_fetches = 0.1
        turned_away = numbers.sample(fleet.addresses, count // 3) + readers(fleet)
        directory.turned_away.update(turned_away)
        for entry in fleet.entries.values():
            entry.peers.pacer = FullLinkPacer()
        for address in numbers.sample(
            sorted(set(fleet.addresses) - set(turned_away)), count // 10
        ):
            fleet.kill(address)
        await asyncio.sleep(numbers.uniform(0.0, 1.0))
        directory.change()
        await asyncio.sleep(APPLY_SECONDS)
        return informed_share(fleet, directory)

    assert play(count, scenario, seed) == 1.0


def test_return_of_the_directory_after_an_outage_reaches_entries_that_do_not_read():
    async def scenario(fleet, directory):
        directory.down = True
        await asyncio.sleep(5.0)
        lost = [entry.state.unreachable_since is not None for entry in fleet.entries.values()]
        directory.down = False
        directory.change()
        await asyncio.sleep(APPLY_SECONDS)
        in_grace = [
            entry.state.fleet.grace_until > entry.now() - APPLY_SECONDS
            for entry in fleet.entries.values()
        ]
        back = [entry.state.unreachable_since is None for entry in fleet.entries.values()]
        return all(lost), all(back), all(in_grace), informed_share(fleet, directory)

    assert play(40, scenario) == (True, True, True, 1.0)


def test_entry_that_was_suspended_reads_by_itself():
    async def scenario(fleet, _directory):
        address, entry = next((a, e) for a, e in fleet.entries.items() if e.readers.told)
        fleet.network.ports[address].open = False
        entry.state.directory_seen_at -= 5.0
        entry.readers.review()
        return entry.readers.reason.reads

    assert play(20, scenario)
