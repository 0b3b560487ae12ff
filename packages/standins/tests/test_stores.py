import asyncio

from persimmonstall.failures import Reason
from persimmonstall.outside.instances import Instance, InstanceState
from persimmonstall.outside.table import Committed, Conflict, Write
from persimmonstall_standins.instances import MemoryInstances
from persimmonstall_standins.objects import MemoryObjects
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.virtual.loop import run
from persimmonstall_standins.weights import MemoryWeights, WeightLimits

TIMEOUT = 1.0


def put(key, value, expected=0):
    return Write("t", key, expected, value)


def test_commit_is_conditional_and_atomic():
    async def main():
        table = MemoryTable()
        assert await table.commit([put("a", b"1"), put("b", b"2")], TIMEOUT) == Committed((1, 1))
        conflict = await table.commit([put("a", b"3", 1), put("b", b"4")], TIMEOUT)
        assert isinstance(conflict, Conflict) and conflict.rows[0].key == "b"
        assert (await table.read("t", "a", TIMEOUT)).value == b"1"
        assert [row.key for row in await table.scan("t", "", "a", 9, TIMEOUT)] == ["b"]
        assert [row.key for row in await table.scan("t", "a", "", 9, TIMEOUT)] == ["a"]

    run(main())


def test_lost_answer_has_effect_and_late_write_comes_after_the_timeout():
    async def main():
        table = MemoryTable()
        table.faults.lose_answers = True
        lost = await table.commit([put("a", b"1")], TIMEOUT)
        assert lost.reason is Reason.AMBIGUOUS
        table.faults.lose_answers = False
        assert (await table.read("t", "a", TIMEOUT)).version == 1
        table.faults.apply_late = 5.0
        late = await table.commit([put("b", b"1")], TIMEOUT)
        assert late.reason is Reason.AMBIGUOUS
        assert await table.read("t", "b", TIMEOUT) is None
        await asyncio.sleep(5.0)
        assert await table.read("t", "b", TIMEOUT)

    run(main())


def test_down_refuses_and_old_reads_are_served():
    async def main():
        table = MemoryTable()
        await table.commit([put("a", b"1")], TIMEOUT)
        table.faults.serve_old = True
        await table.commit([put("a", b"2", 1)], TIMEOUT)
        assert (await table.read("t", "a", TIMEOUT)).value == b"1"
        table.faults.serve_old = False
        assert (await table.read("t", "a", TIMEOUT)).value == b"2"
        table.faults.down = True
        assert (await table.read("t", "a", TIMEOUT)).reason is Reason.TABLE_DOWN
        assert (await table.commit([put("c", b"")], TIMEOUT)).reason is Reason.TABLE_DOWN

    run(main())


def test_objects_list_by_prefix():
    async def main():
        objects = MemoryObjects()
        await objects.put("x/1", b"a", TIMEOUT)
        await objects.put("y/1", b"b", TIMEOUT)
        assert await objects.list("x/", TIMEOUT) == ("x/1",)
        await objects.delete("x/1", TIMEOUT)
        assert await objects.get("x/1", TIMEOUT) is None

    run(main())


def test_instances_lag_expire_and_leave():
    async def main():
        instances = MemoryInstances(lag=2.0, expiry=5.0)
        await instances.register(Instance("i1", "entry", "127.0.0.1:1", "dc1"), TIMEOUT)
        assert await instances.list(TIMEOUT) == ()
        await asyncio.sleep(3.0)
        assert [i.name for i in await instances.list(TIMEOUT)] == ["i1"]
        instances.mark_leaving("i1")
        await asyncio.sleep(2.5)
        assert (await instances.list(TIMEOUT))[0].state is InstanceState.LEAVING
        await asyncio.sleep(10.0)
        assert await instances.list(TIMEOUT) == ()

    run(main())


def test_weights_limit_grants_until_they_expire():
    async def main():
        weights = MemoryWeights(WeightLimits(grants=1, expiry=10.0))
        assert await weights.request("m@1", "e1", TIMEOUT)
        assert (await weights.request("m@1", "e2", TIMEOUT)).reason is Reason.BUSY
        await asyncio.sleep(10.0)
        assert await weights.request("m@1", "e2", TIMEOUT)

    run(main())
