"""Request limits that endpoints name, kept by fleets of different sizes on virtual time."""

import asyncio
import random
from types import SimpleNamespace

import attrs
import pytest

from persimmonstall.direct import beacon as beacons
from persimmonstall.direct import findings
from persimmonstall.direct.findings import Findings
from persimmonstall.direct.grants import Permit
from persimmonstall.direct.messages import Endpoint, Repeat, Route, RoutedCall, Service, Share
from persimmonstall.direct.permits import PermitReply, PermitRequest
from persimmonstall.direct.request_limits import (
    PROBE_SECONDS,
    LimitReport,
    RequestLimits,
)
from persimmonstall_daemon.direct.permits import PermitExchange
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet, make_entry

WINDOW_SECONDS = 4.0
SLACK_FACTOR = 1.5
SLACK_REQUESTS = 5
PLAY_SECONDS = 16.0
CALLS_PER_SECOND = 40.0
PATIENCE_SECONDS = 0.3
ANSWER_SECONDS = 0.05
TOLD_SECONDS = 0.5
DOWN_SECONDS = 2.0
LIMITED = Endpoint("limited", "plain", "10.9.0.1:80", born=1, slots=8)
PLAIN = Service("plain")
ROUTE = Route("r", "h", "/", (Share("plain"),), Repeat.ALLOWED, objective=PATIENCE_SECONDS)


def most_in_a_window(times):
    """Return the largest number of `times` within one window."""
    return max((sum(at <= t < at + WINDOW_SECONDS for t in times) for at in times), default=0)


@attrs.define
class Play:
    """The limit of an endpoint and the times of the calls that a fleet sent to it.

    `told` are those of entries that had passed on an answer with the limit half a second before.
    """

    rate: float
    sent: list = attrs.field(factory=list)
    told: list = attrs.field(factory=list)

    @property
    def within_limit(self):
        """Whether no window has more calls of told entries than are allowed."""
        allowed = SLACK_FACTOR * WINDOW_SECONDS * self.rate + SLACK_REQUESTS
        return most_in_a_window(self.told) <= allowed


async def call_once(fleet, entry, played):
    """Send a call to the limited endpoint if its owner permits it, and take its answer."""
    permit = await entry.permits.acquire(LIMITED, PATIENCE_SECONDS)
    if not permit.granted:
        return
    await asyncio.sleep(permit.wait)
    sent_at = fleet.clock()
    played.sent.append(sent_at)
    if sent_at >= entry.told_at + TOLD_SECONDS:
        played.told.append(sent_at)
    await asyncio.sleep(ANSWER_SECONDS)
    entry.limits.record_answer(LIMITED, Answer(played.rate), sent_at)
    entry.told_at = min(entry.told_at, fleet.clock())


async def call_often(fleet, played):
    """Send calls through random entries for a while."""
    calls = []
    until = fleet.clock() + PLAY_SECONDS
    while fleet.clock() < until:
        calls.append(asyncio.create_task(call_once(fleet, fleet.random_entry(), played)))
        await asyncio.sleep(fleet.numbers.expovariate(CALLS_PER_SECOND))
    await asyncio.gather(*calls)


async def disturb(fleet):
    """Kill and restart random entries, or tell them to stop, one after the other."""
    while True:
        await asyncio.sleep(fleet.numbers.uniform(0.5, 3.0))
        entry = fleet.random_entry()
        address = entry.settings.daemon.address
        entry.leaving = fleet.numbers.random() < 0.5
        if entry.leaving:
            entry.peers.schedule_beacon(True)
            await asyncio.sleep(1.0)
        fleet.kill(address)
        await asyncio.sleep(DOWN_SECONDS)
        fleet.start(address)


def play(count, seed, gossips=True, loss=0.0, disturbed=False):
    """Return the `Play` of a fleet of `count` entries."""

    async def run():
        numbers = random.Random(seed)
        fleet = GossipFleet(count, numbers, loss, gossips)
        await asyncio.sleep(3.0)
        rate = round(numbers.uniform(0.3, 6.0), 1)
        if not gossips:
            for entry in fleet.entries.values():
                entry.limits.record_answer(LIMITED, Answer(rate), fleet.clock())
                entry.told_at = fleet.clock() - TOLD_SECONDS
        disturbing = asyncio.create_task(disturb(fleet)) if disturbed else None
        played = Play(rate)
        await call_often(fleet, played)
        if disturbing is not None:
            disturbing.cancel()
        fleet.stop()
        return played

    return virtual_loop.run(run())


@attrs.frozen
class Answer:
    """The head of a complete answer that names a request limit."""

    request_limit: float | None
    kind: str = "success"


@pytest.mark.parametrize(("count", "gossips"), [(1, True), (8, True), (34, True), (300, False)])
@pytest.mark.parametrize("seed", [1, 2])
def test_entries_together_keep_to_a_limit_and_use_most_of_it(count, gossips, seed):
    played = play(count, seed, gossips)
    assert played.within_limit
    assert len(played.sent) >= 0.6 * played.rate * PLAY_SECONDS


@pytest.mark.parametrize("seed", [1, 2])
def test_limit_holds_while_entries_restart_and_datagrams_are_lost(seed):
    assert play(8, seed, loss=0.05, disturbed=True).within_limit


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(100))
@pytest.mark.parametrize("count", [2, 8, 34])
def test_limit_holds_over_many_seeds(count, seed):
    assert play(count, seed, loss=0.1, disturbed=True).within_limit


def learn(limits, rate, sent_at, now):
    return limits.observe(LIMITED.lifetime, rate, sent_at, now)


def test_answer_sent_before_the_limit_was_named_does_not_lift_it():
    limits = RequestLimits()
    learn(limits, 2.0, 9.0, 10.0)
    assert not learn(limits, None, 9.9, 10.1)
    assert limits.rate(LIMITED.lifetime) == 2.0
    assert learn(limits, None, 10.1, 10.3)
    assert limits.rate(LIMITED.lifetime) is None


def test_older_report_does_not_restore_a_lifted_limit():
    limits = RequestLimits()
    learn(limits, 2.0, 0.0, 1.0)
    learn(limits, None, 2.0, 3.0)
    assert not limits.merge_remote((LimitReport(*LIMITED.lifetime, 2.0, 2.5),), 5.0)
    assert limits.rate(LIMITED.lifetime) is None
    assert limits.merge_remote((LimitReport(*LIMITED.lifetime, 3.0, 0.5),), 5.0)
    assert limits.rate(LIMITED.lifetime) == 3.0


def test_limit_ends_with_the_lifetime_of_its_endpoint():
    limits = RequestLimits()
    learn(limits, 2.0, 0.0, 1.0)
    assert limits.rate((LIMITED.name, LIMITED.born + 1)) is None


def test_limit_is_sent_with_the_next_two_beacons_and_with_complete_ones():
    entry = make_entry(lambda: 5.0)
    entry.limits.on_change = lambda urgent: None
    entry.limits.record_answer(LIMITED, Answer(1.5), 4.0)
    for expected in (2, 2, 1):
        assert len(entry.peers.builder.changes_datagrams()) == expected
        entry.peers.record_changes_sent()
    assert len(entry.peers.builder.whole_datagrams()) == 2


def test_earlier_version_takes_findings_for_a_malformed_beacon():
    sent = findings.encode(Findings("10.0.0.1:7340", (LimitReport("e", 1, 2.0, 0.1),)))
    assert not beacons.decode(sent)


def choose(entry, tried=frozenset()):
    """Return what the entry chooses for one call."""

    async def run():
        call = SimpleCall()
        routed = RoutedCall(call, ROUTE, PLAIN)
        return await entry.chooser.choose(routed, "a", SimpleHistory(tried))

    return virtual_loop.run(run())


@attrs.frozen
class SimpleCall:
    """A call without a prompt."""

    arrived: float = 0.0
    deadline: float = 10.0
    prompt_tokens: int = 0
    body: bytes = b""


@attrs.frozen
class SimpleHistory:
    """The history of a call whose attempts ended at the endpoints `tried_endpoints`."""

    tried_endpoints: frozenset
    last_event: int = -1


@pytest.fixture
def limited_entry():
    """Return an entry with a free endpoint and one that has just named a limit."""
    now = [100.0]
    entry = make_entry(lambda: now[0])
    entry.time = now
    entry.state.fleet.put(LIMITED)
    entry.state.fleet.put(attrs.evolve(LIMITED, name="free"))
    entry.limits.on_change = lambda urgent: None
    entry.limits.record_answer(LIMITED, Answer(1.0), 99.0)
    return entry


def test_calls_go_to_endpoints_without_a_limit_while_one_is_free(limited_entry):
    chosen = {choose(limited_entry).request.endpoint.name for _ in range(20)}
    assert chosen == {"free"}


def test_call_without_another_endpoint_waits_for_its_turn_or_is_refused_with_the_wait(
    limited_entry,
):
    limited_entry.state.fleet.drop("free")
    bucket = limited_entry.state.request_limits.bucket_of(LIMITED.lifetime, 1.0, 100.0)
    bucket.give(1.0, 100.0)
    assert choose(limited_entry).request.endpoint is LIMITED
    refused = choose(limited_entry)
    assert not refused
    assert PATIENCE_SECONDS < refused.delay < 2.0


def test_end_of_a_limit_is_found_by_a_call_to_its_endpoint(limited_entry):
    limited_entry.time[0] += PROBE_SECONDS
    assert choose(limited_entry).request.endpoint is LIMITED
    limited_entry.limits.record_answer(LIMITED, Answer(None), limited_entry.time[0])
    assert limited_entry.state.request_limits.rate(LIMITED.lifetime) is None


def test_old_limit_is_probed_by_one_entry_only(limited_entry):
    limited_entry.time[0] += PROBE_SECONDS
    limited_entry.ownership.owner = lambda name: "10.0.0.9:7340"
    assert choose(limited_entry).request.endpoint.name == "free"


def test_deadline_that_passes_as_a_permit_arrives_still_ends_the_wait():
    async def scenario():
        peers = SimpleNamespace(address="10.0.0.1:7340", send=lambda owner, data: None)
        permits = PermitExchange(SimpleNamespace(), peers)
        asking = asyncio.create_task(
            permits.ask("10.0.0.2:7340", PermitRequest("", 1, *LIMITED.lifetime, 1.0, 1.0))
        )
        await asyncio.sleep(0)
        permits.settle(PermitReply(1, Permit(True, 0.0)))
        asking.cancel()
        await asyncio.wait((asking,))
        assert asking.cancelled()

    virtual_loop.run(scenario())
