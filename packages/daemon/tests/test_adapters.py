import asyncio

import pytest

from persimmonstall.failures import Reason
from persimmonstall.outside.engine import Finish, Job
from persimmonstall.outside.instances import Instance
from persimmonstall.outside.service import ServiceCall
from persimmonstall.outside.table import Committed, Conflict, Write
from persimmonstall_daemon.adapters import wire
from persimmonstall_daemon.adapters.engine import HttpEngine
from persimmonstall_daemon.adapters.instances import HttpInstances
from persimmonstall_daemon.adapters.objects import HttpObjects
from persimmonstall_daemon.adapters.service import HttpService
from persimmonstall_daemon.adapters.table import HttpTable
from persimmonstall_daemon.adapters.weights import HttpWeights
from persimmonstall_standins.engine import EngineModel
from persimmonstall_standins.http_server import (
    EngineServer,
    ServiceServer,
    StandInServer,
    listen,
)
from persimmonstall_standins.instances import MemoryInstances
from persimmonstall_standins.objects import MemoryObjects
from persimmonstall_standins.output import expected_output
from persimmonstall_standins.service import ServiceModel
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.weights import MemoryWeights, WeightLimits

LIMIT = 10.0
NOWHERE = "http://127.0.0.1:1"
JOB = Job("j1", "d1", "chat", "", b"a prompt\nof two lines \xff", 1000, 4000, 1200, 5)


@pytest.fixture
def at_port():
    """Return a function that serves a stand-in and runs a test with an adapter for it."""

    def run(server, adapter, test):
        async def main():
            runner = await listen(server.application(), 0)
            port = runner.addresses[0][1]
            client = adapter(f"http://127.0.0.1:{port}")
            try:
                async with asyncio.timeout(LIMIT):
                    await test(client)
            finally:
                await client.close()
                await runner.cleanup()

        asyncio.run(main())

    return run


def test_table_maps_answers_and_timeouts(at_port):
    memory = MemoryTable()

    async def test(table):
        write = Write("t", "k", 0, b"\x00\xff")
        assert await table.commit((write,), 1.0) == Committed((1,))
        assert (await table.read("t", "k", 1.0)).value == b"\x00\xff"
        assert await table.read("t", "none", 1.0) is None
        assert len(await table.scan("t", "", "", 10, 1.0)) == 1
        conflict = await table.commit((write,), 1.0)
        assert isinstance(conflict, Conflict) and conflict.rows[0].version == 1
        memory.faults.delay = 5.0
        late = await table.commit((Write("t", "j", 0, b""),), 0.1)
        assert late.reason is Reason.AMBIGUOUS
        assert (await table.read("t", "k", 0.1)).reason is Reason.TABLE_DOWN
        memory.faults.delay = 0.0
        memory.faults.down = True
        assert (await table.commit((write,), 1.0)).reason is Reason.TABLE_DOWN

    at_port(StandInServer(memory, wire.TABLE), HttpTable, test)


def test_objects_instances_and_weights(at_port):
    async def objects_test(objects):
        assert await objects.put("a/b", b"\xff", 1.0) is True
        assert await objects.get("a/b", 1.0) == b"\xff"
        assert await objects.list("a/", 1.0) == ("a/b",)
        assert await objects.delete("a/b", 1.0) is True
        assert await objects.get("a/b", 1.0) is None

    async def instances_test(instances):
        instance = Instance("i1", "entry", "127.0.0.1:1", "dc1")
        assert await instances.register(instance, 1.0) is True
        assert await instances.list(1.0) == (instance,)

    async def weights_test(weights):
        grant = await weights.request("m@1", "e1", 1.0)
        assert (await weights.request("m@1", "e2", 1.0)).reason is Reason.BUSY
        assert await weights.finish(grant.grant, 1.0) is True

    at_port(StandInServer(MemoryObjects(), wire.OBJECTS), HttpObjects, objects_test)
    instances = StandInServer(MemoryInstances(lag=0.0), wire.INSTANCES)
    at_port(instances, HttpInstances, instances_test)
    weights = StandInServer(MemoryWeights(WeightLimits(grants=1)), wire.WEIGHTS)
    at_port(weights, HttpWeights, weights_test)


def test_engine_streams_a_whole_answer_and_parks(at_port):
    engine = EngineModel("e1", speed=50.0)

    async def test(client):
        steps = client.steps()
        await steps.connecting
        assert await client.submit(JOB, 1.0) is True
        tokens = []
        async for step in steps:
            tokens += [token for output in step.outputs for token in output.tokens]
            if any(output.finish is Finish.STOP for output in step.outputs):
                break
        assert tuple(tokens) == expected_output("chat", JOB.prompt, 4000)
        assert (await client.load(1.0)).memory_total == engine.settings.memory
        engine.speed = 1.0
        await client.submit(JOB, 1.0)
        ticket = await client.park("j1", 1.0)
        assert [state.job_id for state in await client.jobs(1.0)] == [ticket]
        assert await client.resume(ticket, JOB, 1.0) is True
        assert await client.cancel("j1", 1.0) is True
        assert await client.discard(ticket, 1.0) is True
        assert await client.jobs(1.0) == ()
        engine.die()
        assert [step async for step in client.steps()] == []
        assert (await client.submit(JOB, 1.0)).detail == "not connected"

    at_port(EngineServer(engine), HttpEngine, test)


def test_service_passes_answers_and_says_what_was_not_run(at_port):
    service = ServiceModel("s1", speed=10.0)

    async def test(client):
        call = ServiceCall("c1", "file", b"{}")
        assert (await client.call(call, 5.0)).status == 200
        assert [run.call_id for run in service.runs] == ["c1"]
        assert (await client.load(1.0)).capacity == service.settings.capacity
        service.faults.refuse = True
        assert (await client.call(call, 1.0)).reason is Reason.BUSY
        service.faults.refuse = False
        service.faults.silent = True
        assert (await client.call(call, 0.5)).detail == "timeout"

    at_port(ServiceServer(service), HttpService, test)


def test_refused_connections_certainly_had_no_effect():
    async def main():
        engine, service, table = HttpEngine(NOWHERE), HttpService(NOWHERE), HttpTable(NOWHERE)
        assert (await engine.submit(JOB, 1.0)).detail == "not connected"
        assert [step async for step in engine.steps()] == []
        call = ServiceCall("c1", "file", b"{}")
        assert (await service.call(call, 1.0)).detail == "not connected"
        assert (await table.commit((), 1.0)).reason is Reason.TABLE_DOWN
        for client in (engine, service, table):
            await client.close()

    asyncio.run(main())
