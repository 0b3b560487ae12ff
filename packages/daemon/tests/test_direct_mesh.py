"""What the entries of a fleet of hundreds send each other, on virtual time and slow links."""

import asyncio
import itertools
import random

import attrs
import msgspec
import pytest

from persimmonstall.direct import beacon as beacons
from persimmonstall.direct.beacon_pacing import (
    DATAGRAM_BURST_SECONDS,
    LINK_SHARE,
    MAX_DATAGRAMS_PER_SECOND,
)
from persimmonstall.direct.loads import InFlightAttempt
from persimmonstall.direct.messages import Endpoint
from persimmonstall_daemon.direct.peer import ACTIVE_TIMEOUT_SECONDS
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet, make_entry
from .test_direct_peers import LINK_BYTES_PER_SECOND, QueueingLink, demand, find_out, serve_call

PEER_COUNT = 299
SECONDS = 6.0
PACKET_BYTES = 1_500
MAX_PACKETS = 8
"""Packets of the largest datagram: more would hardly arrive together on a lossy link."""

LONG_CALLS = 160
LONG_CALL_ENGINES = 17
EARLIER_FIELDS = 17
"""Number of fields of a beacon that entries of the earlier version read."""

FLEET_SIZES = [60, pytest.param(300, marks=pytest.mark.soak)]
LOSS = 0.1
SETTLE_SECONDS = 4.0
NEWS_SECONDS = 2.0
"""Time in which news of one entry reaches all others; less than any bound of a configuration or
an endpoint's leaving."""


def lose_calls(entry, count):
    """Let an entry find a crash with several calls, each with many parts."""
    for number in range(count):
        find_out(entry, number * PEER_COUNT, entry.now())
    entry.peers.schedule_beacon(True)


@pytest.fixture(params=[0, 1, 6], ids=["idle", "some_calls", "many_calls"])
def crowded_link(request):
    """Return the link of an entry among `PEER_COUNT` others that gets so many calls per second."""
    return run_crowded(request.param, 0)


def run_crowded(calls_per_second, lost):
    """Return the link of an entry among others; it loses some calls in the crash of an engine."""

    async def run():
        loop = asyncio.get_running_loop()
        entry = make_entry(loop.time)
        link = entry.peers.transport = QueueingLink(loop.time)
        for number in range(PEER_COUNT):
            entry.peers.meet(f"10.0.{number // 200}.{number % 200 + 2}:7340")
        tasks = [asyncio.create_task(entry.peers.run())]
        loop.call_at(SECONDS / 3, lose_calls, entry, lost)
        for number in itertools.count():
            if loop.time() >= SECONDS:
                break
            for peer in entry.peers.peers.values():
                peer.last_heard = peer.last_named = loop.time()
            if calls_per_second:
                tasks.append(asyncio.create_task(serve_call(entry, number)))
            await asyncio.sleep(1 / max(1, calls_per_second))
        for task in tasks:
            task.cancel()
        return link

    return virtual_loop.run(run())


def test_beacons_to_hundreds_come_twice_before_an_entry_counts_as_silent(crowded_link):
    pauses = [later - earlier for earlier, later in itertools.pairwise(crowded_link.sent_at)]
    assert crowded_link.sent_at[-1] > SECONDS - ACTIVE_TIMEOUT_SECONDS / 2
    assert max(pauses) < ACTIVE_TIMEOUT_SECONDS / 2


def test_entry_that_reports_many_lost_calls_to_hundreds_does_not_count_as_silent():
    link = run_crowded(1, lost=8)
    pauses = [later - earlier for earlier, later in itertools.pairwise(link.sent_at)]
    assert max(pauses) < ACTIVE_TIMEOUT_SECONDS / 2


def test_beacons_to_hundreds_leave_three_quarters_of_the_link_to_calls(crowded_link):
    sent = sum(size for _, size in crowded_link.waits)
    one_round = ACTIVE_TIMEOUT_SECONDS / 2 * LINK_SHARE * LINK_BYTES_PER_SECOND
    assert sent <= LINK_SHARE * LINK_BYTES_PER_SECOND * SECONDS + one_round


def test_number_of_datagrams_is_bounded_for_the_sake_of_the_processors(crowded_link):
    at_once = MAX_DATAGRAMS_PER_SECOND * DATAGRAM_BURST_SECONDS + 2 * PEER_COUNT
    assert len(crowded_link.waits) <= MAX_DATAGRAMS_PER_SECOND * SECONDS + at_once


@pytest.fixture
def sender_and_receiver():
    """Return two entries and a function that sends the first one's complete state."""
    sender, receiver = make_entry(lambda: 0.0), make_entry(lambda: 0.0)
    receiver.peers.address = "10.0.0.2:7340"
    receiver.peers.schedule_beacon = lambda urgent: None

    def deliver():
        sent = sender.peers.builder.whole_datagrams()
        for data in sent:
            receiver.peers.inbox.receive(data)
        return sent

    return sender.state.load_tracker, receiver.state.load_tracker, deliver


def begin_long_calls(load_tracker, count):
    demands = tuple(demand(engine) for engine in range(LONG_CALL_ENGINES))
    for number in range(count):
        load_tracker.begin(InFlightAttempt(f"abcdef123456-{number}", demands), 0.0)


def test_state_with_many_long_calls_arrives_whole_in_small_datagrams(sender_and_receiver):
    sent, received, deliver = sender_and_receiver
    begin_long_calls(sent, LONG_CALLS)
    datagrams = deliver()
    assert set(received.attempts) == set(sent.attempts)
    assert max(map(len, datagrams)) < MAX_PACKETS * PACKET_BYTES


def test_call_whose_end_was_lost_ends_with_the_next_state_also_if_that_is_split(
    sender_and_receiver,
):
    sent, received, deliver = sender_and_receiver
    begin_long_calls(sent, LONG_CALLS)
    deliver()
    sent.end("abcdef123456-7")
    deliver()
    assert set(received.attempts) == set(sent.attempts)


def test_split_state_does_not_restart_calls_that_are_known(sender_and_receiver):
    sent, received, deliver = sender_and_receiver
    begin_long_calls(sent, LONG_CALLS)
    deliver()
    before = dict(received.attempts)
    deliver()
    assert all(received.attempts[name] is attempt for name, attempt in before.items())


def test_each_part_of_a_split_state_is_a_beacon_that_earlier_versions_read(sender_and_receiver):
    sent, _, deliver = sender_and_receiver
    begin_long_calls(sent, LONG_CALLS)
    parts = deliver()
    assert {len(msgspec.msgpack.decode(part)) for part in parts} == {EARLIER_FIELDS}
    read = [beacons.decode(part) for part in parts]
    sequences = [beacon.sequence for beacon in read]
    assert not any(beacon.whole for beacon in read)
    assert sequences == sorted(set(sequences))


@attrs.define
class CountingLink:
    """Counts the bytes that the port of an entry sends; `port` carries the datagrams."""

    port: object
    sent: int = 0

    def sendto(self, data, address):
        """Send a datagram."""
        self.sent += len(data) + 28
        self.port.sendto(data, address)

    def is_closing(self):
        """Return whether the entry is stopped."""
        return self.port.is_closing()


def run_fleet(scenario, count):
    """Run `scenario(fleet)` on a settled fleet that loses a tenth of its datagrams."""

    async def run():
        fleet = GossipFleet(count, random.Random(count), LOSS)
        await asyncio.sleep(SETTLE_SECONDS)
        await scenario(fleet)
        fleet.stop()

    virtual_loop.run(run())


def silent_pairs(fleet):
    """Return the (entry, other) pairs in which a live entry counts as silent."""
    live = set(fleet.entries)
    return [
        (address, other)
        for address, entry in fleet.entries.items()
        for other in live - {address} - {peer.address for peer in entry.peers.active()}
    ]


def known_by(fleet, address):
    """Return the number of entries to which the entry at `address` is active."""
    return sum(
        address in {peer.address for peer in entry.peers.active()}
        for entry in fleet.entries.values()
    )


@pytest.mark.parametrize("count", FLEET_SIZES)
def test_news_reaches_all_entries_of_a_large_lossy_fleet_in_time(count):
    async def scenario(fleet):
        for entry in fleet.entries.values():
            entry.peers.transport = CountingLink(entry.peers.transport)
        begun = fleet.clock()
        assert not silent_pairs(fleet)
        finder = fleet.random_entry()
        for number in range(2):
            endpoint = Endpoint(f"e{number}", "llm", "10.0.9.9:80", born=1, slots=8)
            tracker = finder.state.crash_tracker
            tracker.record_lost_connection("bad", endpoint.lifetime, fleet.clock())
            finder.crash_reporter.record_crash(endpoint)
        stopped = fleet.addresses[-1]
        fleet.kill(stopped)
        await asyncio.sleep(NEWS_SECONDS)
        trackers = [entry.state.crash_tracker for entry in fleet.entries.values()]
        assert all(tracker.is_blocked("bad", fleet.clock()) for tracker in trackers)
        await asyncio.sleep(ACTIVE_TIMEOUT_SECONDS - NEWS_SECONDS + 0.1)
        assert known_by(fleet, stopped) == 0
        assert not silent_pairs(fleet)
        used = max(entry.peers.transport.sent for entry in fleet.entries.values())
        assert used <= 1.2 * LINK_SHARE * LINK_BYTES_PER_SECOND * (fleet.clock() - begun)
        fleet.start(stopped)
        await asyncio.sleep(NEWS_SECONDS)
        assert known_by(fleet, stopped) == count - 1
        assert not silent_pairs(fleet)

    run_fleet(scenario, count)


def test_demands_of_a_known_call_are_not_decoded_again(sender_and_receiver, monkeypatch):
    sent, received, deliver = sender_and_receiver
    decoded = []
    decode_row = beacons.demand_from_row
    monkeypatch.setattr(
        beacons, "demand_from_row", lambda row: decoded.append(row) or decode_row(row)
    )
    begin_long_calls(sent, 3)
    deliver()
    count = len(decoded)
    sent.record_first_event("abcdef123456-1")
    deliver()
    assert len(decoded) == count == 3 * LONG_CALL_ENGINES
    assert received.attempts == sent.attempts
