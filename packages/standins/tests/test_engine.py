import asyncio

import pytest

from persimmonstall.failures import Reason
from persimmonstall.outside.engine import Finish, Job, JobKind, Order, OrderAction, SegmentRef
from persimmonstall_standins.engine import EngineModel
from persimmonstall_standins.engine_state import EngineSettings
from persimmonstall_standins.output import expected_output
from persimmonstall_standins.virtual.loop import run

TIMEOUT = 1.0


def job(name="j1", prompt=b"hello", tokens=1000, **changes):
    fields = {"max_tokens": 4000, "reserved_tokens": tokens + 500, "priority": 5} | changes
    return Job(name, "d1", "chat", "", prompt, tokens, **fields)


async def collect(steps, name, limit=600.0):
    """Return the job's tokens, its finish, and the times of its first and last output."""
    tokens, times = [], []
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(limit):
        async for step in steps:
            for output in step.outputs:
                if output.job_id != name:
                    continue
                times.append(loop.time())
                assert output.offset == len(tokens) or not output.tokens
                tokens.extend(output.tokens)
                if output.finish:
                    return tuple(tokens), output.finish, times
    return tuple(tokens), Finish.NONE, times


def test_answer_is_the_same_on_each_engine_and_after_resume():
    async def main():
        whole = expected_output("chat", b"hello", 4000)
        engine = EngineModel("e1")
        steps = engine.steps()
        await engine.submit(job(), TIMEOUT)
        tokens, finish, _ = await collect(steps, "j1")
        assert (tokens, finish) == (whole, Finish.STOP)
        other = EngineModel("e2")
        steps = other.steps()
        await other.submit(job("j2", resume_from=10), TIMEOUT)
        rest = []
        async for step in steps:
            rest += [token for output in step.outputs for token in output.tokens]
            if other.memory_used == 0:
                break
        assert tuple(rest) == whole[10:]
        assert engine.memory_used == other.memory_used == 0

    run(main())


def test_prefill_costs_more_than_linear_and_higher_priority_goes_first():
    async def main():
        engine = EngineModel("e1", EngineSettings(memory=800_000))
        steps = engine.steps()
        second_steps = engine.steps()
        await engine.submit(job("long", b"l", 400_000, priority=8, max_tokens=1), TIMEOUT)
        await asyncio.sleep(1.0)
        await engine.submit(job("short", b"s", 1000, priority=1, max_tokens=1), TIMEOUT)
        _, _, times = await collect(second_steps, "short")
        assert times[0] < 1.2
        _, _, times = await collect(steps, "long")
        assert 16.0 < times[0] < 25.0

    run(main())


def test_full_memory_refuses_a_job_and_evicts_the_lowest_priority():
    async def main():
        engine = EngineModel("e1", EngineSettings(memory=2050))
        steps = engine.steps()
        assert await engine.submit(job("a", b"a", 1000, reserved_tokens=1000), TIMEOUT)
        full = await engine.submit(job("b", b"b", 1000, reserved_tokens=1500), TIMEOUT)
        assert full.reason is Reason.NO_MEMORY
        low = job("c", b"c", 1000, reserved_tokens=1000, priority=9)
        assert await engine.submit(low, TIMEOUT)
        _, finish, _ = await collect(steps, "c")
        assert finish is Finish.OUT_OF_MEMORY

    run(main())


def test_park_and_resume_continue_the_answer():
    async def main():
        engine = EngineModel("e1")
        steps = engine.steps()
        await engine.submit(job(), TIMEOUT)
        await asyncio.sleep(0.5)
        done = engine.runs["j1"].generated
        ticket = await engine.park("j1", TIMEOUT)
        assert engine.memory_used == 0
        assert [(s.job_id, s.kind) for s in await engine.jobs(TIMEOUT)] == [
            (ticket, JobKind.PARKED)
        ]
        assert await engine.resume(ticket, job("j2", resume_from=done), TIMEOUT)
        tokens = []
        async for step in steps:
            tokens += [token for output in step.outputs for token in output.tokens]
            if not engine.runs:
                break
        assert tuple(tokens) == expected_output("chat", b"hello", 4000)
        assert await engine.jobs(TIMEOUT) == ()

    run(main())


def test_segments_are_held_until_freed():
    async def main():
        engine = EngineModel("e1")
        steps = engine.steps()
        part = job("s", tokens=500_000, kind=JobKind.SEGMENT, start=0, end=300_000)
        part = part.__class__(**{**fields(part), "reserved_tokens": 300_000})
        assert await engine.submit(part, TIMEOUT)
        _, finish, _ = await collect(steps, "s")
        assert finish is Finish.PREFILLED and engine.memory_used == 300_000
        other = EngineModel("e2")
        ref = SegmentRef("e1", "s", 0, 300_000)
        whole = job("g", tokens=500_000, segments=(ref,), reserved_tokens=201_000)
        steps = other.steps()
        assert await other.submit(whole, TIMEOUT)
        tokens, _, _ = await collect(steps, "g")
        assert tokens == expected_output("chat", b"hello", 4000)
        await engine.cancel("s", TIMEOUT)
        assert engine.memory_used == other.memory_used == 0

    run(main())


def fields(record):
    return {name: getattr(record, name) for name in record.__class__.__slots__ if name[0] != "_"}


def test_prefix_cache_skips_prefill_and_reports_late():
    async def main():
        engine = EngineModel("e1", EngineSettings(event_loss=0.0))
        events = engine.cache_events()
        steps = engine.steps()
        blocks = tuple(range(1, 98))
        await engine.submit(job("a", b"a", 100_000, blocks=blocks), TIMEOUT)
        await collect(steps, "a")
        assert set((await anext(events)).added) == set(blocks)
        started = asyncio.get_running_loop().time()
        await engine.submit(job("b", b"a", 100_000, blocks=blocks), TIMEOUT)
        _, _, times = await collect(steps, "b")
        assert times[0] - started < 0.1

    run(main())


def test_faults_of_connection_and_process():
    async def main():
        engine = EngineModel("e1")
        silent = engine.steps()
        await engine.submit(job(max_tokens=100_000), TIMEOUT)
        engine.silence_steps()
        assert await collect(engine.steps(), "j1")
        assert silent.queue.empty()
        await engine.submit(job("j2"), TIMEOUT)
        engine.freeze()
        assert (await engine.cancel("j2", TIMEOUT)).detail == "timeout"
        engine.thaw()
        assert engine.memory_used == 0
        engine.faults.drop_cancel = True
        await engine.submit(job("j3"), TIMEOUT)
        assert await engine.cancel("j3", TIMEOUT) is True and engine.memory_used
        steps = engine.steps()
        engine.die()
        assert [step async for step in steps] == []
        assert (await engine.submit(job("j4"), TIMEOUT)).detail == "not connected"
        engine.restart()
        assert await engine.submit(job("j4", prompt=b"CRASH-ENGINE"), TIMEOUT)
        assert engine.dead

    run(main())


@pytest.mark.parametrize("checked", [True, False])
def test_orders_load_models_and_check_the_fence(checked):
    async def main():
        engine = EngineModel("e1", EngineSettings(models=("chat",), check_fence=checked))
        load = Order(OrderAction.LOAD_MODEL, "chat", "2", 5)
        assert (await engine.order(load, TIMEOUT)).detail == "timeout"
        await asyncio.sleep(10.0)
        await engine.load(TIMEOUT)
        assert "chat@2" in (await engine.load(TIMEOUT)).models
        old = await engine.order(Order(OrderAction.UNLOAD_MODEL, "chat", "1", 4), TIMEOUT)
        assert bool(old) is not checked
        unknown = await engine.submit(job(version="3"), TIMEOUT)
        assert unknown.reason is Reason.UNKNOWN_MODEL

    run(main())
