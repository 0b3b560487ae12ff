"""Prompts larger than an engine: complete answers, and all memory released after any crash."""

import asyncio

import pytest

from persimmonstall.failures import Outcome, Reason
from persimmonstall.memory.long_prompt import LongPrompt
from persimmonstall.outside.engine import JobKind
from persimmonstall_daemon.entry.request import Answer, NullSink
from persimmonstall_daemon.memory.reservations import Reservations
from persimmonstall_standins.output import expected_output

LENGTH = 950_000
"""Prompt tokens: 2.4 times the memory of an engine."""

RELEASE_SECONDS = 14.0
"""Seconds after a crash within which all engine memory is released."""


def connect_segments(fleet):
    """Let each engine check whether the others still hold the segments that it refers to."""
    for engine in fleet.engines.values():
        engine.segment_alive = lambda ref: ref.job_id in fleet.engines[ref.endpoint].runs


def ask(fleet, entry, number=1, tokens=LENGTH, **changes):
    fields = {"deadline": 300.0, "max_tokens": 2000} | changes
    request = fleet.request(number, tokens, **fields)
    return request, asyncio.create_task(entry.serve(request, NullSink()))


def segments(fleet):
    """Return the (engine, run) pairs of all segments held now."""
    return [
        (engine, run)
        for engine in fleet.engines.values()
        for run in engine.runs.values()
        if run.job.kind is JobKind.SEGMENT
    ]


def memory_used(fleet):
    return sum(engine.memory_used for engine in fleet.engines.values())


def started_segments(fleet):
    """Return how many prefills of segments the engines have started.

    The request id of a segment is the name of its reservation, which contains a dot.
    """
    logs = [entry for engine in fleet.engines.values() for entry in engine.log]
    started = [entry for entry in logs if entry.event == "started"]
    return sum("." in entry.job_id.split("/")[1] for entry in started)


async def until(condition, limit=120.0):
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.05)


def generating(fleet):
    return [
        engine
        for engine in fleet.engines.values()
        for run in engine.decoding.values()
        if run.job.segments and run.generated > 5
    ]


def is_complete(request, answer):
    assert isinstance(answer, Answer), answer
    return answer.tokens == expected_output("m", request.prompt, 2000)


def test_prompt_of_several_engines_is_served_and_released(on_fleet):
    async def scenario(fleet, entry):
        connect_segments(fleet)
        request, pending = ask(fleet, entry)
        await until(lambda: generating(fleet))
        held = {engine.name for engine, _ in segments(fleet)}
        answer = await pending
        await asyncio.sleep(1.0)
        return is_complete(request, answer), len(held), memory_used(fleet)

    assert on_fleet(scenario, engines=5) == (True, 3, 0)


def test_share_of_engines_for_long_prompts_is_kept(on_fleet):
    async def scenario(fleet, entry):
        _, pending = ask(fleet, entry)
        return await pending

    refused = on_fleet(scenario, engines=4)
    assert refused.reason is Reason.PROMPT_TOO_LONG
    assert refused.outcome is Outcome.NOT_RUN


def test_two_long_prompts_finish_while_short_ones_continue(on_fleet):
    async def scenario(fleet, entry):
        connect_segments(fleet)
        pairs = [ask(fleet, entry, number) for number in (1, 2)]
        waits = []
        for number in range(40):
            started_at = asyncio.get_running_loop().time()
            short = await entry.serve(fleet.request(100 + number, 1000), NullSink())
            waits.append(short.first_token_at - started_at)
            await asyncio.sleep(0.5)
        answers = [(request, await pending) for request, pending in pairs]
        await asyncio.sleep(1.0)
        assert all(is_complete(*pair) for pair in answers)
        return sorted(waits)[37], memory_used(fleet)

    p95, held = on_fleet(scenario, engines=5)
    assert held == 0
    assert p95 < 0.46


@pytest.mark.parametrize(
    "kill_generator", [True, False], ids=["generating engine", "other engine"]
)
@pytest.mark.parametrize("whole_daemon", [True, False], ids=["with daemon", "engine only"])
def test_only_the_lost_part_is_prefilled_again(on_fleet, kill_generator, whole_daemon):
    async def scenario(fleet, entry):
        connect_segments(fleet)
        request, pending = ask(fleet, entry)
        await until(lambda: generating(fleet))
        generator = generating(fleet)[0]
        others = [engine for engine, _ in segments(fleet) if engine is not generator]
        victim = generator if kill_generator else others[0]
        if whole_daemon:
            fleet.fabric.kill(f"{victim.name}:1")
        victim.die()
        answer = await pending
        await asyncio.sleep(RELEASE_SECONDS)
        return is_complete(request, answer), started_segments(fleet), memory_used(fleet)

    assert on_fleet(scenario, engines=7) == (True, 4, 0)


async def entry_killed(fleet, entry, moment):
    """Kill the entry once `moment` is true; return the memory held after `RELEASE_SECONDS`."""
    connect_segments(fleet)
    _, pending = ask(fleet, entry)
    await until(lambda: moment(fleet))
    fleet.fabric.kill("entry1:1")
    pending.cancel()
    await asyncio.sleep(RELEASE_SECONDS)
    return memory_used(fleet)


def prefilling(fleet):
    return any(engine.prefilling for engine in fleet.engines.values())


@pytest.mark.parametrize("moment", [prefilling, generating])
def test_all_memory_is_released_when_the_entry_dies(on_fleet, moment):
    def scenario(fleet, entry):
        return entry_killed(fleet, entry, moment)

    assert on_fleet(scenario, engines=5) == 0


def test_memory_stays_held_without_expiry(on_fleet, monkeypatch):
    monkeypatch.setattr(Reservations, "expire", lambda *_: None)

    def scenario(fleet, entry):
        return entry_killed(fleet, entry, generating)

    assert on_fleet(scenario, engines=5) > 0


def test_without_repair_everything_is_prefilled_again(on_fleet, monkeypatch):
    monkeypatch.setattr(LongPrompt, "reassign_lost", lambda *_: [])

    async def scenario(fleet, entry):
        connect_segments(fleet)
        request, pending = ask(fleet, entry)
        await until(lambda: generating(fleet))
        generating(fleet)[0].die()
        return is_complete(request, await pending), started_segments(fleet)

    assert on_fleet(scenario, engines=7) == (True, 6)


def test_request_without_free_memory_is_refused_within_its_deadline(on_fleet):
    async def scenario(fleet, entry):
        connect_segments(fleet)
        _, first = ask(fleet, entry, 1)
        await until(lambda: prefilling(fleet))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        _, second = ask(fleet, entry, 2, deadline=12.0)
        refused = await second
        return refused, loop.time() - started_at, await first

    refused, elapsed, answer = on_fleet(scenario, engines=5)
    assert refused.reason in (Reason.TOO_LATE, Reason.DEADLINE)
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after > 0
    assert elapsed <= 12.0
    assert isinstance(answer, Answer)
