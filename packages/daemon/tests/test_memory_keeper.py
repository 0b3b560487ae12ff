"""Engine memory is freed whatever fails, and streams are parked rather than cut.

A lost cancel, a dead daemon or an unfinished import or export leaves memory in the engine that
no ledger accounts for; the comparison with the engine's list frees it.
"""

import asyncio
from random import Random

import pytest

from persimmonstall.catalogue import Catalogue
from persimmonstall.clock import Context
from persimmonstall.failures import Outcome
from persimmonstall.membership.view import ABSENCE_SECONDS
from persimmonstall.messages import control, requests
from persimmonstall.outside.engine import JobKind
from persimmonstall.outside.instances import Instance, InstanceState
from persimmonstall.settings import Settings
from persimmonstall_daemon.endpoint.daemon import EndpointDaemon
from persimmonstall_daemon.endpoint.engine_backend import EngineBackend
from persimmonstall_daemon.membership.task import Membership
from persimmonstall_daemon.memory.manager import MemoryManager
from persimmonstall_daemon.memory.parking import ParkedStreams
from persimmonstall_daemon.memory.reservations import Reservations
from persimmonstall_daemon.observe.metrics import Metrics
from persimmonstall_standins.engine import EngineModel
from persimmonstall_standins.engine_state import EngineSettings
from persimmonstall_standins.fleet import FixedFollower, Stores
from persimmonstall_standins.instances import MemoryInstances
from persimmonstall_standins.objects import MemoryObjects
from persimmonstall_standins.output import expected_output
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.virtual.loop import run
from persimmonstall_standins.virtual.network import Fabric

BOUND = 12.0
"""Seconds after a failure within which the engine holds no memory."""

SLOW_STEP = 2.0
"""Duration of an engine step in seconds, long enough that no answer ends during a test."""


class Caller:
    """Replaces an entry's session and collects the messages sent to it."""

    peer = "entry"

    def __init__(self):
        self.tokens = {}
        self.results = {}
        self.answers = {}

    def send(self, message):
        if isinstance(message, requests.Chunks):
            for chunk in message.chunks:
                have = self.tokens.setdefault(chunk.request_id, [])
                assert chunk.offset == len(have)
                have.extend(chunk.tokens)
        elif isinstance(message, (requests.End, requests.Refused)):
            self.results[message.request_id] = message
        elif isinstance(message, control.Reserved):
            self.answers[message.reservation] = message.reason


class DaemonHarness:
    """An endpoint daemon with one engine and a caller."""

    def __init__(self, engine, instance="i1", seed=1):
        self.engine = engine
        self.caller = Caller()
        self.settings = Settings()
        self.settings.daemon.instance = instance
        loop = asyncio.get_running_loop()
        context = Context(loop.time, loop.time, Random(f"{seed}/{loop.time()}"))
        network = Fabric().network("i1:1")
        metrics = Metrics(self.settings)
        self.daemon = EndpointDaemon(
            self.settings,
            network,
            context,
            metrics,
            FixedFollower(Catalogue()),
            Stores(MemoryTable(), MemoryObjects()),
            strict=True,
        )
        self.backend = EngineBackend("e1", engine, self.daemon)
        self.daemon.add_backend(self.backend)

    async def start(self):
        await self.daemon.start()
        await asyncio.sleep(1.0)
        return self

    def submit(self, name, tokens=1000, **changes):
        fields = {"max_tokens": 4000, "predicted_tokens": 20, "priority": 5} | changes
        message = requests.Submit(
            name, 1, "e1", "o", name.encode(), 600.0, "m", prompt_tokens=tokens, **fields
        )
        self.backend.post(message, self.caller)

    def reserve(self, name, tokens, renew=False):
        self.backend.post(control.Reserve(name, "e1", tokens, 6.0, renew), self.caller)


def slow_engine(**changes):
    return EngineModel("e1", EngineSettings(models=("m",), base_step=SLOW_STEP, **changes))


def held_tokens(engine):
    """Return the tokens held by the engine, in its own memory and in exports."""
    return engine.memory_used + sum(export.run.memory for export in engine.exports.values())


async def lost_cancel():
    harness = await DaemonHarness(slow_engine()).start()
    harness.submit("r")
    await asyncio.sleep(3.0)
    harness.engine.faults.drop_cancel = True
    harness.backend.post(requests.Cancel("r", 1), harness.caller)
    await asyncio.sleep(5.0)
    harness.engine.faults.drop_cancel = False
    return harness


async def daemon_killed():
    harness = await DaemonHarness(slow_engine()).start()
    harness.submit("r")
    await asyncio.sleep(3.0)
    await harness.daemon.stop()
    return await DaemonHarness(harness.engine, seed=2).start()


async def other_instance(listed):
    """Return a daemon whose engine still runs a job of another, leaving instance.

    If not `listed`, that instance has stopped and is no longer in the platform's list.
    """
    instances = MemoryInstances(lag=0.0, expiry=1000.0)
    first = await DaemonHarness(slow_engine(), "i0").start()
    first.submit("r")
    leaving = Instance("i0", "endpoint", "i0:1", "dc1", state=InstanceState.LEAVING)
    await instances.register(leaving, 1.0)
    await asyncio.sleep(3.0)
    second = await DaemonHarness(first.engine, seed=2).start()
    daemon = second.daemon
    membership = Membership(
        second.settings, daemon.context, daemon.invariants, daemon.metrics, instances
    )
    second.backend.memory.listed_instances = membership.listed_names
    second.reading = asyncio.create_task(membership.run())
    if not listed:
        await first.daemon.stop()
        instances.remove("i0")
        await asyncio.sleep(ABSENCE_SECONDS)
    return second


async def other_instance_gone():
    return await other_instance(listed=False)


async def parked_pair(**faults):
    """Return a daemon that had to park one of two streams, with `faults` of its engine."""
    harness = await DaemonHarness(slow_engine(memory=2140)).start()
    harness.submit("a")
    harness.submit("b", priority=9)
    await asyncio.sleep(8.0)
    assert len(harness.engine.runs) == 2
    for name, value in faults.items():
        setattr(harness.engine.faults, name, value)
    return harness


async def cancel_all(harness):
    for name in ("a", "b"):
        harness.backend.post(requests.Cancel(name, 1), harness.caller)


async def import_half_done():
    harness = await parked_pair(stall_imports=True)
    await asyncio.sleep(60.0)
    harness.backend.post(requests.Cancel("a", 1), harness.caller)
    await asyncio.sleep(1.0)
    assert JobKind.IMPORT in {state.kind for state in harness.engine.job_table.states()}
    await asyncio.sleep(1.0)
    harness.engine.faults.drop_cancel = True
    await cancel_all(harness)
    await asyncio.sleep(4.0)
    harness.engine.faults.drop_cancel = False
    return harness


async def export_never_collected():
    harness = await parked_pair(lose_answers=True)
    await asyncio.sleep(60.0)
    assert harness.engine.exports
    harness.engine.faults.lose_answers = False
    await cancel_all(harness)
    return harness


FAILURES = [
    lost_cancel,
    daemon_killed,
    other_instance_gone,
    import_half_done,
    export_never_collected,
]


async def held_after(failure):
    harness = await failure()
    await asyncio.sleep(BOUND)
    return held_tokens(harness.engine)


@pytest.mark.parametrize("failure", FAILURES, ids=lambda failure: failure.__name__)
def test_engine_memory_is_back_to_zero(failure):
    assert run(held_after(failure)) == 0


@pytest.mark.parametrize("failure", FAILURES, ids=lambda failure: failure.__name__)
def test_engine_memory_stays_lost_without_the_comparison(failure, monkeypatch):
    monkeypatch.setattr(MemoryManager, "on_listing", lambda *_: None)
    monkeypatch.setattr(MemoryManager, "free", lambda *_: None)
    assert run(held_after(failure)) > 0


def test_jobs_of_a_daemon_that_still_drains_are_left_alone():
    async def still_draining():
        return await other_instance(listed=True)

    assert run(held_after(still_draining)) > 0


async def owner_paused():
    """Return (tokens held after the reservation expired, answer to the late renewal)."""
    harness = await DaemonHarness(EngineModel("e1", EngineSettings(models=("m",)))).start()
    harness.reserve("long.0", 100_000)
    await asyncio.sleep(0.1)
    harness.submit("long.0", 250_000, segment_end=90_000, length_class="giant")
    await asyncio.sleep(5.5)
    assert harness.caller.results["long.0"].finish == "prefilled"
    harness.reserve("long.0", 100_000, renew=True)
    await asyncio.sleep(3.0)
    assert harness.engine.memory_used == 90_000
    await asyncio.sleep(BOUND)
    harness.reserve("long.0", 100_000, renew=True)
    await asyncio.sleep(0.1)
    return harness.engine.memory_used, harness.caller.answers["long.0"]


def test_reservation_of_a_paused_owner_lapses(monkeypatch):
    assert run(owner_paused()) == (0, "not_found")
    monkeypatch.setattr(Reservations, "expire", lambda *_: None)
    assert run(owner_paused()) == (90_000, "")


async def wrong_estimates(seed):
    """Run streams that outgrow their estimate; return (daemon, finish reasons at the engine)."""
    random = Random(seed)
    engine = EngineModel("e1", EngineSettings(models=("m",), memory=4300))
    harness = await DaemonHarness(engine).start()
    for number in range(12):
        harness.submit(f"r{number}", random.randint(900, 1100), priority=random.randint(0, 9))
        await asyncio.sleep(random.random() / 20)
    await asyncio.sleep(300.0)
    return harness, {entry.detail for entry in engine.log if entry.event == "finished"}


@pytest.mark.parametrize("seed", range(5))
def test_streams_that_outgrow_their_guess_are_parked_and_end_whole(seed):
    harness, finishes = run(wrong_estimates(seed))
    assert "parked" in finishes and "out_of_memory" not in finishes
    for name, result in harness.caller.results.items():
        if isinstance(result, requests.End):
            assert tuple(harness.caller.tokens[name]) == expected_output("m", name.encode(), 4000)
        else:
            assert result.outcome == Outcome.NOT_RUN
    assert len(harness.caller.results) == 12
    assert held_tokens(harness.engine) == 0 == harness.backend.memory.ledger.committed_tokens


def test_streams_are_cut_without_parking(monkeypatch):
    monkeypatch.setattr(ParkedStreams, "park_if_short_of_memory", lambda *_: None)
    assert "out_of_memory" in run(wrong_estimates(0))[1]
