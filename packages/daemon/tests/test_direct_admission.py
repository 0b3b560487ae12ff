"""Calls that wait in an entry for room: they go on, are refused, or their callers leave."""

import asyncio

import attrs
import pytest

from persimmonstall.direct.loads import EndpointDemand, InFlightAttempt
from persimmonstall.direct.messages import (
    Call,
    Endpoint,
    Organisation,
    Repeat,
    Route,
    RoutedCall,
    Service,
    Share,
)
from persimmonstall.direct.updates import EndpointChange, EndpointUpdate
from persimmonstall.failures import Reason
from persimmonstall_daemon.direct.admission import AdmissionQueue
from persimmonstall_standins.virtual.loop import VirtualLoop

from .direct_fleet import make_entry

SLOTS = 2
ROUTE = Route("r", "h", "/", (Share("plain"),), Repeat.ALLOWED, timeout=5.0, objective=1.0)


def routed(now, name="c"):
    call = Call(name, "GET", "/x", "h", (), b"", now, now + 5.0)
    return RoutedCall(call, ROUTE, Service("plain"), Organisation("o"), content=name)


@pytest.fixture
def loop():
    created = VirtualLoop()
    yield created
    created.close()


@pytest.fixture
def queue(loop):
    """Return the admission of an entry whose only endpoint is full."""
    entry = make_entry(loop.time)
    entry.settings.direct.admission = True
    endpoint = Endpoint("e", "plain", "10.0.0.9:80", born=1, slots=SLOTS)
    update = EndpointUpdate((EndpointChange("e", endpoint),), 1, whole=True)
    entry.state.apply_update(update, loop.time())
    for number in range(SLOTS):
        attempt = InFlightAttempt(f"f{number}", (EndpointDemand("e"),))
        entry.state.load_tracker.begin(attempt, loop.time())
    return AdmissionQueue(entry)


def waited(queue, tag):
    return queue.entry.metrics.values.get("direct_admissions", {}).get(tag, 0)


def test_waiting_call_goes_on_when_a_slot_is_free(loop, queue):
    async def play():
        admitted = asyncio.create_task(queue.admit(routed(loop.time())))
        await asyncio.sleep(0.1)
        assert not admitted.done()
        queue.entry.state.load_tracker.end("f0")
        await asyncio.sleep(0.05)
        assert admitted.done()
        assert await admitted is None

    loop.run_until_complete(play())
    assert waited(queue, "waited") == 1


def test_waiting_call_is_offered_when_its_patience_ends(loop, queue):
    started = loop.time()
    assert loop.run_until_complete(queue.admit(routed(started))) is None
    assert 0.4 <= loop.time() - started <= 0.6
    assert waited(queue, "offered") == 1


def test_call_whose_caller_leaves_stops_waiting(loop, queue):
    async def play():
        admitted = asyncio.create_task(queue.admit(routed(loop.time())))
        await asyncio.sleep(0.05)
        admitted.cancel()
        await asyncio.wait([admitted])

    loop.run_until_complete(play())
    assert not queue.futures
    assert not queue.admission.waiting


def test_calls_of_an_entry_that_stops_do_not_wait(loop, queue):
    async def play():
        admitted = asyncio.create_task(queue.admit(routed(loop.time())))
        await asyncio.sleep(0.02)
        queue.entry.leaving = True
        await asyncio.sleep(0.02)
        assert admitted.done()
        assert await queue.admit(routed(loop.time(), "d")) is None

    loop.run_until_complete(play())


def test_call_that_cannot_be_served_in_time_is_refused_with_its_turn(loop, queue):
    queue.record_served(routed(loop.time()), 60.0)
    started = loop.time()
    refused = loop.run_until_complete(queue.admit(routed(started)))
    assert refused.reason is Reason.OVERLOADED
    assert refused.delay > 0.5
    assert loop.time() == started


def test_calls_without_organisation_or_priorities_are_not_held(loop, queue):
    call = attrs.evolve(routed(loop.time()), organisation=None)
    assert loop.run_until_complete(queue.admit(call)) is None
    assert not waited(queue, "offered")
