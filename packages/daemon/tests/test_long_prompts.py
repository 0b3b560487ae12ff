"""Prompts larger than an engine: whole answers, and all memory back whatever dies."""

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

BOUND = 14.0
"""Seconds after a death in which all engines' memory is back to zero."""


def wire(fleet):
    """Let each engine see whether the others still hold the segments it refers to."""
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


def used(fleet):
    return sum(engine.used for engine in fleet.engines.values())


def started_segments(fleet):
    """Return how many prefills of segments the engines have started."""
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


def whole(request, answer):
    assert isinstance(answer, Answer), answer
    return answer.tokens == expected_output("m", request.prompt, 2000)


def test_prompt_of_several_engines_is_served_and_released(on_fleet):
    async def scenario(fleet, entry):
        wire(fleet)
        request, asked = ask(fleet, entry)
        await until(lambda: generating(fleet))
        held = {engine.name for engine, _ in segments(fleet)}
        answer = await asked
        await asyncio.sleep(1.0)
        return whole(request, answer), len(held), used(fleet)

    assert on_fleet(scenario, engines=5) == (True, 3, 0)


def test_share_of_engines_for_long_prompts_is_kept(on_fleet):
    async def scenario(fleet, entry):
        _, asked = ask(fleet, entry)
        return await asked

    refused = on_fleet(scenario, engines=4)
    assert refused.reason is Reason.PROMPT_TOO_LONG
    assert refused.outcome is Outcome.NOT_RUN


def test_two_at_once_both_finish_and_short_ones_go_on(on_fleet):
    async def scenario(fleet, entry):
        wire(fleet)
        pairs = [ask(fleet, entry, number) for number in (1, 2)]
        waits = []
        for number in range(40):
            begun = asyncio.get_running_loop().time()
            short = await entry.serve(fleet.request(100 + number, 1000), NullSink())
            waits.append(short.first_token_at - begun)
            await asyncio.sleep(0.5)
        answers = [(request, await asked) for request, asked in pairs]
        await asyncio.sleep(1.0)
        assert all(whole(*pair) for pair in answers)
        return sorted(waits)[37], used(fleet)

    p95, held = on_fleet(scenario, engines=5)
    assert held == 0
    assert p95 < 0.46


@pytest.mark.parametrize("head", [True, False], ids=["generating engine", "other engine"])
@pytest.mark.parametrize("whole_daemon", [True, False], ids=["with daemon", "engine only"])
def test_only_the_lost_part_is_prefilled_again(on_fleet, head, whole_daemon):
    async def scenario(fleet, entry):
        wire(fleet)
        request, asked = ask(fleet, entry)
        await until(lambda: generating(fleet))
        generator = generating(fleet)[0]
        others = [engine for engine, _ in segments(fleet) if engine is not generator]
        victim = generator if head else others[0]
        if whole_daemon:
            fleet.fabric.kill(f"{victim.name}:1")
        victim.die()
        answer = await asked
        await asyncio.sleep(BOUND)
        return whole(request, answer), started_segments(fleet), used(fleet)

    assert on_fleet(scenario, engines=7) == (True, 4, 0)


async def entry_killed(fleet, entry, moment):
    """Kill the entry at a moment and return the memory held after the bound."""
    wire(fleet)
    _, asked = ask(fleet, entry)
    await until(lambda: moment(fleet))
    fleet.fabric.kill("entry1:1")
    asked.cancel()
    await asyncio.sleep(BOUND)
    return used(fleet)


def prefilling(fleet):
    return any(engine.prefilling for engine in fleet.engines.values())


@pytest.mark.parametrize("moment", [prefilling, generating])
def test_all_memory_comes_back_when_the_entry_dies(on_fleet, moment):
    def scenario(fleet, entry):
        return entry_killed(fleet, entry, moment)

    assert on_fleet(scenario, engines=5) == 0


def test_memory_stays_held_without_the_lapse(on_fleet, monkeypatch):
    monkeypatch.setattr(Reservations, "expire", lambda *_: None)

    def scenario(fleet, entry):
        return entry_killed(fleet, entry, generating)

    assert on_fleet(scenario, engines=5) > 0


def test_without_repair_everything_is_prefilled_again(on_fleet, monkeypatch):
    monkeypatch.setattr(LongPrompt, "reassign_lost", lambda *_: [])

    async def scenario(fleet, entry):
        wire(fleet)
        request, asked = ask(fleet, entry)
        await until(lambda: generating(fleet))
        generating(fleet)[0].die()
        return whole(request, await asked), started_segments(fleet)

    assert on_fleet(scenario, engines=7) == (True, 6)


def test_request_that_finds_no_room_is_refused_within_its_deadline(on_fleet):
    async def scenario(fleet, entry):
        wire(fleet)
        _, first = ask(fleet, entry, 1)
        await until(lambda: prefilling(fleet))
        loop = asyncio.get_running_loop()
        begun = loop.time()
        _, second = ask(fleet, entry, 2, deadline=12.0)
        refused = await second
        return refused, loop.time() - begun, await first

    refused, took, answer = on_fleet(scenario, engines=5)
    assert refused.reason in (Reason.TOO_LATE, Reason.DEADLINE)
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after > 0
    assert took <= 12.0
    assert isinstance(answer, Answer)
