"""The messages between the entries of a large fleet, on virtual time and modelled links."""

import asyncio
import itertools
import math
import random

import attrs
import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request

from persimmonstall.clock import Context
from persimmonstall.direct import beacon as beacons
from persimmonstall.direct import snapshot as snapshots
from persimmonstall.direct.beacon_pacing import heartbeat_interval
from persimmonstall.direct.crashing_parts import LostCall
from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt
from persimmonstall.direct.messages import Configuration, Endpoint
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.state import State
from persimmonstall.direct.updates import (
    ConfigurationUpdate,
    EndpointChange,
    EndpointUpdate,
    ReachabilityUpdate,
)
from persimmonstall_daemon.direct.peer import ACTIVE_TIMEOUT_SECONDS, Peer
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import LINK_MBPS, make_entry

LINK_BYTES_PER_SECOND = LINK_MBPS * 1e6 / 8
PEER_COUNT = 33
DATAGRAM_HEADER_BYTES = 28
CANCEL_SECONDS = 0.5
"""Time after a caller's close within which its engine must have stopped work."""

CALLS_PER_SECOND = 6
CALL_SECONDS = 3.0
LONG_CALL_EVERY = 4
LONG_CALL_ENGINES = 17
BUSY_SECONDS = 8.0


class QueueingLink:
    """Transport whose datagrams share a link.

    `waits` holds the seconds to wait and the bytes of each, `sent_at` the times of sending.
    """

    def __init__(self, clock):
        self.clock = clock
        self.free_at = 0.0
        self.waits = []
        self.sent_at = []

    def sendto(self, data, _address):
        """Queue a datagram behind those that the link has not carried yet."""
        size = len(data) + DATAGRAM_HEADER_BYTES
        now = self.clock()
        self.free_at = max(self.free_at, now) + size / LINK_BYTES_PER_SECOND
        self.waits.append((self.free_at - now, size))
        self.sent_at.append(now)

    def is_closing(self):
        """Return false: the link stays open."""
        return False


def demand(number):
    """Return the demand of a call at an engine, with names as long as those of a platform."""
    return EndpointDemand(
        f"i-7f3a91c2{number:02d}", 0.0712, 5000, 6100, number == 0, 0.2, 0.27, 1.1
    )


async def serve_call(entry, number):
    """Do what a call does to the entry's loads; every fourth one is split over many engines."""
    engines = LONG_CALL_ENGINES if number % LONG_CALL_EVERY == 0 else 1
    demands = tuple(demand(engine) for engine in range(engines))
    attempt = InFlightAttempt(f"abcdef123456-{number}", demands)
    entry.loads.begin(attempt)
    await asyncio.sleep(CALL_SECONDS / 2)
    entry.loads.record_first_event(attempt.name)
    await asyncio.sleep(CALL_SECONDS / 2)
    entry.loads.end(attempt.name)


def find_out(entry, number, now):
    """Let an entry find a request limit and a crash of calls with many parts."""
    entry.state.request_limits.observe((f"i-7f3a91c2{number % 78:02d}", 1), number, now, now)
    parts = tuple(f"5c1e07a2{part:04d}" for part in range(number, number + 8))
    lost = [LostCall(f"c{number}", parts, now)]
    entry.state.crash_tracker.parts.add_crash((f"e{number}", 1), lost, now)


@pytest.fixture(params=[False, True], ids=["attempts", "attempts_and_findings"])
def busy_link(request):
    """Return the link of an entry that was busy for a while in a fleet of many peers.

    With findings, each call makes it find a request limit and a crash.
    """

    async def run():
        loop = asyncio.get_running_loop()
        entry = make_entry(loop.time)
        link = entry.peers.transport = QueueingLink(loop.time)
        for number in range(PEER_COUNT):
            entry.peers.meet(f"10.0.1.{number}:7340")
        tasks = [asyncio.create_task(entry.peers.run())]
        numbers = itertools.count()
        while loop.time() < BUSY_SECONDS:
            for peer in entry.peers.peers.values():
                peer.last_heard = peer.last_named = loop.time()
            number = next(numbers)
            tasks.append(asyncio.create_task(serve_call(entry, number)))
            if request.param:
                find_out(entry, number, loop.time())
            await asyncio.sleep(1 / CALLS_PER_SECOND)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        return link

    return virtual_loop.run(run())


def test_a_close_does_not_wait_behind_beacons_until_its_engine_is_late(busy_link):
    assert max(wait for wait, _ in busy_link.waits) < CANCEL_SECONDS


def test_beacons_leave_three_quarters_of_the_link_to_calls(busy_link):
    sent = sum(size for _, size in busy_link.waits)
    one_round = PEER_COUNT * max(size for _, size in busy_link.waits)
    assert sent <= LINK_BYTES_PER_SECOND / 4 * BUSY_SECONDS + one_round


def test_paced_beacons_still_come_several_times_before_an_entry_counts_as_silent(busy_link):
    pauses = [later - earlier for earlier, later in itertools.pairwise(busy_link.sent_at)]
    assert busy_link.sent_at[-1] > BUSY_SECONDS - 1
    assert max(pauses) < ACTIVE_TIMEOUT_SECONDS / 3


@pytest.mark.parametrize("peer_count", [1, 7, 33, 299, 999])
def test_one_lost_beacon_does_not_make_an_idle_entry_of_a_large_fleet_count_as_silent(peer_count):
    clock = Context(random=random.Random(1))
    longest = max(clock.jitter(heartbeat_interval(peer_count)) for _ in range(1000))
    assert 2 * longest < ACTIVE_TIMEOUT_SECONDS


def attempt_named(name):
    return InFlightAttempt(name, (demand(0),))


@pytest.fixture
def sender_and_receiver():
    """Return two entries and a function that delivers the first one's beacon to the second."""
    sender, receiver = make_entry(lambda: 0.0), make_entry(lambda: 0.0)
    receiver.peers.address = "10.0.0.2:7340"
    receiver.peers.schedule_beacon = lambda urgent: None

    def deliver(whole=False, lost=False):
        peers = sender.peers
        builder = peers.builder
        builder.sequence += 1
        beacon = builder.make_whole_beacon() if whole else builder.make_changes_beacon()
        peers.record_changes_sent()
        if not lost:
            receiver.peers.inbox.receive(beacons.encode(beacon))

    return sender.state.load_tracker, receiver.state.load_tracker, deliver


def test_lost_changes_are_in_the_next_beacon(sender_and_receiver):
    sent, received, deliver = sender_and_receiver
    sent.begin(attempt_named("a"), 0.0)
    deliver()
    sent.record_first_event("a")
    sent.begin(attempt_named("b"), 0.0)
    deliver(lost=True)
    deliver()
    assert {name: found.started for name, found in received.attempts.items()} == {
        "a": True,
        "b": False,
    }
    sent.end("a")
    deliver(lost=True)
    deliver()
    assert set(received.attempts) == {"b"}


def test_whole_beacon_makes_up_for_all_lost_changes(sender_and_receiver):
    sent, received, deliver = sender_and_receiver
    for name in "abc":
        sent.begin(attempt_named(name), 0.0)
        deliver(lost=name == "b")
    sent.end("a")
    for _ in range(3):
        deliver(lost=True)
    deliver()
    assert set(received.attempts) == {"a", "b", "c"}
    deliver(whole=True)
    assert set(received.attempts) == {"b", "c"}


def test_sent_changes_are_not_kept(sender_and_receiver):
    sent, _, deliver = sender_and_receiver
    for number in range(100):
        sent.begin(attempt_named(f"a{number}"), 0.0)
        sent.end(f"a{number}")
        deliver()
    assert len(sent.changes.numbers) <= 2


def test_beacon_of_an_earlier_version_carries_the_complete_state(informed_entry):
    fields = msgspec.msgpack.decode(
        beacons.encode(informed_entry.peers.builder.make_whole_beacon())
    )
    beacon = beacons.decode(msgspec.msgpack.encode(fields[:13]))
    assert (beacon.whole, beacon.ended, beacon.link) == (True, (), math.inf)


@pytest.mark.parametrize("link", [0, -1, math.nan, "fast", None])
def test_beacon_with_an_invalid_bandwidth_does_not_stop_an_entry(informed_entry, link):
    beacon = attrs.evolve(informed_entry.peers.builder.make_whole_beacon(), link=link)
    assert not beacons.decode(beacons.encode(beacon))


@pytest.fixture
def informed_entry():
    """Return an entry with version 3 of the configuration and revision 5 of the endpoints."""
    entry = make_entry(lambda: 0.0)
    endpoint = Endpoint("e", "llm", "10.0.0.9:80", born=1, slots=8)
    change = EndpointChange("e", endpoint)
    entry.state.apply_update(ConfigurationUpdate(Configuration(3, (), {})), 0.0)
    entry.state.apply_update(EndpointUpdate((change,), 5, whole=True), 0.0)
    return entry


@pytest.mark.parametrize(
    ("query", "sent"),
    [
        ("", (True, True)),
        ("?configuration=3&endpoints=4", (False, True)),
        ("?configuration=2&endpoints=5", (True, False)),
        ("?configuration=x&endpoints=", (True, True)),
    ],
)
def test_snapshot_does_not_repeat_what_the_peer_has(informed_entry, query, sent):
    async def serve():
        request = make_mocked_request("GET", f"/snapshot{query}")
        return await informed_entry.peers.snapshots.serve(request)

    snapshot = snapshots.decode(virtual_loop.run(serve()).body)
    assert (snapshot.configuration is not None, snapshot.endpoints is not None) == sent


def informed_state(revision, *names):
    """Return the state of an entry that read the endpoints `names` as of a revision."""
    state = State(SharedRetryBudget(0.2, 200.0, 10.0))
    endpoints = [Endpoint(name, "llm", "10.0.0.9:80", born=1, slots=8) for name in names]
    changes = tuple(EndpointChange(endpoint.name, endpoint) for endpoint in endpoints)
    state.apply_update(EndpointUpdate(changes, revision, whole=True), 0.0)
    return state


@pytest.mark.parametrize(("names", "fetches"), [(("e",), False), (("e", "f"), True)])
def test_restarted_entry_does_not_make_all_others_fetch_the_same_endpoints(
    informed_entry, names, fetches
):
    restarted = make_entry(informed_entry.now)
    restarted.settings.daemon.address = restarted.peers.address = "10.0.0.2:7340"
    restarted.state = informed_state(9, *names)
    beacon = beacons.encode(restarted.peers.builder.make_whole_beacon())
    informed_entry.peers.schedule_beacon = lambda urgent: None
    informed_entry.peers.inbox.receive(beacon)
    assert (informed_entry.peers.snapshots.newer_peer() is not None) == fetches


def hear_of_news(entry, peer_count):
    """Make peers known that have a newer configuration than the entry."""
    for number in range(peer_count):
        address = f"10.0.1.{number}:7340"
        entry.peers.peers[address] = Peer(address, last_heard=0.0, configuration=4)


def test_entries_that_lag_do_not_all_fetch_from_the_same_peer(informed_entry):
    hear_of_news(informed_entry, peer_count=8)
    chosen = {informed_entry.peers.snapshots.newer_peer().address for _ in range(32)}
    assert len(chosen) >= 4


@pytest.mark.parametrize(("reachable", "seconds"), [(False, 0.2), (True, 0.5)])
def test_peers_are_asked_for_news_only_if_the_directory_is_late_with_them(
    informed_entry, reachable, seconds
):
    now = [0.0]
    entry = informed_entry
    entry.now = entry.clock.now = lambda: now[0]
    entry.state.apply_update(ReachabilityUpdate(reachable), 0.0)
    hear_of_news(entry, peer_count=1)
    exchange = entry.peers.snapshots
    fetched_at = []

    async def fetch(_peer):
        fetched_at.append(round(now[0], 2))

    exchange.fetch = fetch

    async def wait_for_news():
        while not fetched_at:
            await exchange.catch_up()
            now[0] += 0.1

    virtual_loop.run(wait_for_news())
    assert fetched_at == [seconds]
