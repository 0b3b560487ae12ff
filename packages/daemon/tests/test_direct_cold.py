"""The bound of a cold endpoint holds over all entries, in each second, on virtual time."""

import asyncio
import bisect
import random

import attrs
import pytest

from persimmonstall.direct.cold import SEND_SECONDS, ColdBound
from persimmonstall.direct.messages import Endpoint, Repeat, Route, RoutedCall, Service, Share
from persimmonstall.direct.retrying import AttemptHistory
from persimmonstall_daemon.direct.call_handler import CallHandler
from persimmonstall_daemon.direct.connecting import CONNECT_SECONDS
from persimmonstall_daemon.direct.ownership import STARTING_SECONDS
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet, make_entry

ALLOWED = 53
"""Requests that a cold endpoint may get in any second."""

WINDOW_SECONDS = 1.0
SETTLE_SECONDS = 3.0
PLAY_SECONDS = 8.0
HERD_PER_SECOND = 250.0
"""Calls to one endpoint, far more than it may get."""

PATIENCE_SECONDS = 0.3
LEARN_SECONDS = 1.0
"""Time after which all entries know that an endpoint has turned cold: a heartbeat and the way."""

USUAL_PER_SECOND = 10.0
"""Calls to one endpoint while none is known to be cold, twice the usual load."""

COLD = Endpoint("cold", "plain", "10.9.0.1:80", born=1, slots=8)
PLAIN = Service("plain", cold_start=PLAY_SECONDS, cold_rate=32.0)
ROUTE = Route("r", "h", "/", (Share("plain"),), Repeat.ALLOWED, objective=PATIENCE_SECONDS)


def most_in_a_window(times):
    """Return the largest number of `times` within one window."""
    times = sorted(times)
    ends = [bisect.bisect_left(times, at + WINDOW_SECONDS) for at in times]
    return max((end - start for start, end in enumerate(ends)), default=0)


def make_cold(entry):
    """Let an entry know that the endpoint is cold."""
    entry.state.cold.bounds["plain"] = ColdBound(2 * PLAY_SECONDS, ALLOWED)
    entry.state.cold.presume(COLD, entry.now())


async def call_once(fleet, entry, sent):
    """Send a call to the endpoint, with a permit if the entry knows that it is cold."""
    address = entry.settings.daemon.address
    asked_at = fleet.clock()
    wait = 0.0
    if entry.state.cold.is_cold(COLD, asked_at):
        permit = await entry.permits.acquire_cold(COLD, PATIENCE_SECONDS)
        if not permit.granted:
            return
        wait = permit.wait
    await asyncio.sleep(wait)
    sending_delay = fleet.numbers.uniform(0.0, SEND_SECONDS)
    await asyncio.sleep(sending_delay)
    if fleet.clock() <= asked_at + wait + SEND_SECONDS and address in fleet.entries:
        sent.append(fleet.clock() + fleet.numbers.uniform(0.0, CONNECT_SECONDS))


async def call_often(fleet, rate, seconds, sent):
    """Send calls through random entries for a while."""
    calls = []
    until = fleet.clock() + seconds
    while fleet.clock() < until:
        calls.append(asyncio.create_task(call_once(fleet, fleet.random_entry(), sent)))
        await asyncio.sleep(fleet.numbers.expovariate(rate))
    await asyncio.gather(*calls)


async def kill_owners(fleet):
    """Kill the owner of the endpoint's bound again and again, and restart it a second later."""
    while True:
        await asyncio.sleep(fleet.numbers.uniform(0.5, 1.5))
        address = fleet.random_entry().ownership.owner(COLD.name)
        if address in fleet.entries:
            fleet.kill(address)
            await asyncio.sleep(1.0)
            fleet.start(address)
            make_cold(fleet.entries[address])


async def restart_all(fleet):
    """Kill all entries at once and start them again."""
    await asyncio.sleep(2.0)
    for address in list(fleet.entries):
        fleet.kill(address)
        fleet.start(address)
        make_cold(fleet.entries[address])


async def split(fleet):
    """Cut a third of the entries off from the others for a while, and a tenth from everybody."""
    await asyncio.sleep(1.0)
    side = {address: number % 3 == 0 for number, address in enumerate(fleet.addresses)}
    alone = set(fleet.addresses[::10])
    send = fleet.network.carry
    for address, entry in fleet.entries.items():
        port = entry.peers.transport

        def sendto(data, to, address=address):
            target = f"{to[0]}:{to[1]}"
            if side[target] == side[address] and not {target, address} & alone:
                send(data, target)

        port.sendto = sendto
    await asyncio.sleep(4.0)
    for entry in fleet.entries.values():
        del entry.peers.transport.sendto


async def leave_alone(_fleet):
    """Disturb nothing."""


def play(count, disturb=leave_alone, seed=1, gossips=True, loss=0.02):
    """Return when calls reached the cold endpoint of a fleet that all send to it."""

    async def run():
        fleet = GossipFleet(count, random.Random(seed), loss if gossips else 0.0, gossips)
        await asyncio.sleep(SETTLE_SECONDS)
        for entry in fleet.entries.values():
            make_cold(entry)
        sent = []
        disturbing = asyncio.create_task(disturb(fleet))
        await call_often(fleet, HERD_PER_SECOND, PLAY_SECONDS, sent)
        disturbing.cancel()
        fleet.stop()
        return sent

    return virtual_loop.run(run())


@pytest.mark.parametrize(("count", "gossips"), [(1, True), (2, True), (39, True), (300, False)])
def test_all_entries_together_keep_to_the_bound_and_use_a_part_of_it(count, gossips):
    sent = play(count, gossips=gossips)
    assert most_in_a_window(sent) <= ALLOWED
    assert len(sent) >= 0.2 * ALLOWED * PLAY_SECONDS


@pytest.mark.parametrize("disturb", [kill_owners, restart_all, split])
@pytest.mark.parametrize("seed", [1, 2])
def test_bound_holds_in_a_fleet_that_is_disturbed(disturb, seed):
    sent = play(20, disturb, seed)
    assert most_in_a_window(sent) <= ALLOWED
    assert sent


@pytest.mark.soak
@pytest.mark.parametrize("disturb", [kill_owners, restart_all, split])
@pytest.mark.parametrize("seed", range(30))
def test_bound_holds_over_many_seeds(disturb, seed):
    assert most_in_a_window(play(39, disturb, seed, loss=0.1)) <= ALLOWED


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bound_holds_while_entries_learn_that_a_warm_endpoint_has_turned_cold(seed):
    async def run():
        fleet = GossipFleet(39, random.Random(seed))
        await asyncio.sleep(SETTLE_SECONDS)
        sent = []
        loop = asyncio.get_running_loop()
        for entry in fleet.entries.values():
            loop.call_later(fleet.numbers.uniform(0.0, LEARN_SECONDS), make_cold, entry)
        await call_often(fleet, USUAL_PER_SECOND, LEARN_SECONDS, sent)
        await call_often(fleet, HERD_PER_SECOND, 2.0, sent)
        fleet.stop()
        return sent

    assert most_in_a_window(virtual_loop.run(run())) <= ALLOWED


def test_entry_that_hears_few_others_grants_and_gets_no_permits():
    async def run():
        fleet = GossipFleet(9, random.Random(1))
        await asyncio.sleep(SETTLE_SECONDS)
        entry = fleet.random_entry()
        make_cold(entry)
        before = entry.ownership.hears_most()
        for address in list(fleet.entries):
            if address != entry.settings.daemon.address:
                fleet.kill(address)
        await asyncio.sleep(30.0)
        permit = await entry.permits.acquire_cold(COLD, PATIENCE_SECONDS)
        fleet.stop()
        return before, entry.ownership.hears_most(), permit.granted

    assert virtual_loop.run(run()) == (True, False, False)


def test_entry_that_is_cut_off_before_it_is_asked_for_a_permit_grants_none():
    """The number of others is remembered though no endpoint was cold while they were heard."""

    async def run():
        fleet = GossipFleet(9, random.Random(1))
        await asyncio.sleep(SETTLE_SECONDS)
        entry = fleet.random_entry()
        for address in list(fleet.entries):
            if address != entry.settings.daemon.address:
                fleet.kill(address)
        await asyncio.sleep(30.0)
        make_cold(entry)
        permit = await entry.permits.acquire_cold(COLD, PATIENCE_SECONDS)
        fleet.stop()
        return permit.granted

    assert not virtual_loop.run(run())


def test_entry_that_starts_while_it_hears_none_of_those_named_grants_none():
    async def run():
        fleet = GossipFleet(9, random.Random(1))
        for address in fleet.addresses[1:]:
            fleet.kill(address)
        await asyncio.sleep(2 * STARTING_SECONDS)
        entry = fleet.random_entry()
        make_cold(entry)
        permit = await entry.permits.acquire_cold(COLD, PATIENCE_SECONDS)
        fleet.stop()
        return permit.granted

    assert not virtual_loop.run(run())


@attrs.frozen
class SimpleCall:
    """A call without a prompt."""

    arrived: float = 0.0
    deadline: float = 100.0
    prompt_tokens: int = 0
    body: bytes = b""


@attrs.frozen
class SimpleHistory:
    """The history of a call that was not tried yet."""

    tried_endpoints: frozenset = frozenset()
    last_event: int = -1


def choose(entry):
    """Return what the entry chooses for one call."""

    async def run():
        routed = RoutedCall(SimpleCall(), ROUTE, PLAIN)
        return await entry.chooser.choose(routed, "a", SimpleHistory())

    return virtual_loop.run(run())


@pytest.fixture
def entry():
    """Return an entry without peers that has just learned that its only endpoint is cold."""
    now = [0.0]
    entry = make_entry(lambda: now[0])
    entry.time = now
    now[0] += STARTING_SECONDS
    entry.state.fleet.put(COLD)
    make_cold(entry)
    return entry


def test_call_to_a_cold_endpoint_is_sent_with_a_permit_or_refused_at_once(entry):
    entry.state.cold.acquire(COLD.lifetime, "plain", 0.0, entry.now())
    entry.time[0] += 1.0
    placed = [choose(entry) for _ in range(60)]
    permitted = [each for each in placed if each]
    assert 10 <= len(permitted) <= ALLOWED / 2
    assert all(each.permitted == {"cold"} for each in permitted)
    assert all(each.delay > 0.0 for each in placed if not each)


def test_call_without_a_permit_goes_to_a_warm_endpoint(entry):
    entry.state.fleet.put(attrs.evolve(COLD, name="warm"))
    entry.ownership.owner = lambda name: "10.0.0.9:7340"
    entry.ownership.hears_most = lambda: False
    chosen = {choose(entry).request.endpoint.name for _ in range(20)}
    assert chosen == {"warm"}


def test_silent_endpoint_is_read_on_while_all_others_have_no_permit_yet(entry):
    """Its events are late if nobody reads them while the next attempt waits for its turn."""
    entry.new_attempt_name = lambda: "b"
    rule = entry.state.cold.bounds["plain"].rule
    entry.state.cold.acquire(COLD.lifetime, "plain", 0.0, entry.now())
    entry.time[0] += 0.5 / rule.rate
    route = attrs.evolve(ROUTE, attempts=3)
    silent = attrs.evolve(COLD, name="silent")

    async def run():
        loop = asyncio.get_running_loop()
        started = loop.time()
        routed = RoutedCall(SimpleCall(), route, PLAIN)
        handler = CallHandler(entry)
        following = await handler.prepare_retry(routed, AttemptHistory(), silent)
        return following, loop.time() - started

    assert virtual_loop.run(run()) == (None, 0.0)
