"""Answers relayed by an entry stay complete when engines, links, daemons or callers fail."""

import asyncio

import pytest

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages.requests import Chunk, End
from persimmonstall.streams.assembly import Assembly
from persimmonstall_daemon.entry.dispatch import Dispatch
from persimmonstall_daemon.entry.request import Answer, NullSink

LONG_ANSWER = 55
"""Number of a request whose answer has several hundred tokens."""

RESUMED_SECONDS = 1.5
"""Time after which a resumed answer is past the offset at which its engine died.

Content that is in flight alone at two crashes at the same offset is quarantined instead.
"""

RELEASE_SECONDS = 8.0
"""Virtual seconds within which all engine memory must be released."""


def memory_used(fleet):
    return [engine.memory_used for engine in fleet.engines.values()]


async def busy_endpoint(fleet):
    """Wait until some engine holds memory and return its endpoint's name."""
    for _ in range(200):
        for name, engine in fleet.engines.items():
            if engine.memory_used and not engine.dead:
                return name
        await asyncio.sleep(0.05)
    raise AssertionError("no engine is busy")


async def baseline_tokens(fleet, entry, tokens=1000):
    """Return the tokens of the long answer without any failure."""
    answer = await fleet.send_request(entry, LONG_ANSWER, tokens)
    return answer.tokens


def test_answers_are_whole(on_fleet):
    async def scenario(fleet, entry):
        pending = [fleet.send_request(entry, number, 1000) for number in range(40)]
        return await asyncio.gather(*pending)

    answers = on_fleet(scenario)
    assert all(isinstance(answer, Answer) for answer in answers)
    assert all(answer.count == len(answer.tokens) > 0 for answer in answers)


def test_engine_killed_twice_mid_stream_is_resumed_without_loss(on_fleet):
    async def scenario(fleet, entry):
        expected = await baseline_tokens(fleet, entry)
        pending = asyncio.ensure_future(fleet.send_request(entry, LONG_ANSWER, 1000))
        for _ in range(2):
            await asyncio.sleep(RESUMED_SECONDS)
            fleet.engines[await busy_endpoint(fleet)].die()
        return expected, await pending

    expected, answer = on_fleet(scenario)
    assert answer.tokens == expected
    assert answer.attempts == 3


@pytest.mark.parametrize("direction", ["to_entry", "to_endpoint"])
def test_link_silent_in_one_direction_is_replaced(on_fleet, direction):
    async def scenario(fleet, entry):
        expected = await baseline_tokens(fleet, entry)
        pending = asyncio.ensure_future(fleet.send_request(entry, LONG_ANSWER, 1000))
        await asyncio.sleep(0.5)
        pair = (f"{await busy_endpoint(fleet)}:1", "entry1:1")
        fleet.fabric.silence(*(pair if direction == "to_entry" else pair[::-1]))
        return expected, await pending

    expected, answer = on_fleet(scenario)
    assert answer.tokens == expected
    assert answer.attempts == 1


def test_daemon_frozen_past_silence_is_left_for_another(on_fleet):
    async def scenario(fleet, entry):
        expected = await baseline_tokens(fleet, entry)
        pending = asyncio.ensure_future(fleet.send_request(entry, LONG_ANSWER, 1000))
        await asyncio.sleep(0.5)
        frozen = await busy_endpoint(fleet)
        fleet.fabric.isolate(f"{frozen}:1")
        answer = await pending
        fleet.fabric.rejoin(f"{frozen}:1")
        await asyncio.sleep(RELEASE_SECONDS)
        return expected, answer, memory_used(fleet)

    expected, answer, memory = on_fleet(scenario)
    assert answer.tokens == expected
    assert answer.attempts == 2
    assert memory == [0, 0, 0]


def test_frozen_engine_fails_in_time_when_there_is_no_other(on_fleet):
    async def scenario(fleet, entry):
        started_at = asyncio.get_running_loop().time()
        pending = asyncio.ensure_future(
            fleet.send_request(entry, LONG_ANSWER, 1000, deadline=10.0)
        )
        await asyncio.sleep(0.5)
        fleet.engines["e0"].freeze()
        refusal = await pending
        return asyncio.get_running_loop().time() - started_at, refusal

    elapsed, refusal = on_fleet(scenario, engines=1)
    assert elapsed <= 10.0
    assert refusal.outcome is Outcome.UNKNOWN
    assert refusal.retry_after > 0


def test_caller_that_leaves_frees_engine_memory(on_fleet):
    async def scenario(fleet, entry):
        pending = asyncio.ensure_future(fleet.send_request(entry, LONG_ANSWER, 1000))
        await asyncio.sleep(0.5)
        held = sum(memory_used(fleet))
        pending.cancel()
        await asyncio.sleep(RELEASE_SECONDS)
        return held, memory_used(fleet)

    held, memory = on_fleet(scenario)
    assert held > 0
    assert memory == [0, 0, 0]


def test_entry_killed_frees_engine_memory(on_fleet):
    async def scenario(fleet, entry):
        pending = asyncio.ensure_future(fleet.send_request(entry, LONG_ANSWER, 1000))
        await asyncio.sleep(0.5)
        fleet.fabric.isolate("entry1:1")
        await asyncio.sleep(2 * RELEASE_SECONDS)
        pending.cancel()
        return memory_used(fleet)

    assert on_fleet(scenario) == [0, 0, 0]


class SlowSink(NullSink):
    """Takes 0.1 s for each write."""

    async def write(self, tokens):
        await asyncio.sleep(0.1)


def test_slow_caller_holds_up_nobody_else(on_fleet):
    async def scenario(fleet, entry):
        loop = asyncio.get_running_loop()
        slow = asyncio.ensure_future(entry.serve(fleet.request(LONG_ANSWER, 1000), SlowSink()))
        await asyncio.sleep(0.5)
        started_at = loop.time()
        fast = await fleet.send_request(entry, 2, 1000)
        elapsed = loop.time() - started_at
        return fast, elapsed, await slow

    fast, elapsed, slow = on_fleet(scenario, engines=1)
    assert isinstance(fast, Answer)
    assert elapsed < 20.0
    assert isinstance(slow, Answer)


def test_frames_of_other_requests_and_attempts_are_dropped():
    assembly = Assembly("r1", attempt=2)
    assert assembly.accept(Chunk("r2", 2, 0, (1,))) == ()
    assert assembly.accept(Chunk("r1", 1, 0, (1,))) == ()
    assert assembly.accept(Chunk("r1", 2, 0, (1, 2))) == (1, 2)
    assert assembly.accept(Chunk("r1", 2, 0, (1, 2))) == ()
    assert assembly.finish(End("r1", 1, 2, "stop")) is False
    assert assembly.finish(End("r1", 2, 3, "stop")).reason is Reason.AMBIGUOUS
    assert assembly.finish(End("r1", 2, 2, "stop")) is True
    assert assembly.dropped["other_attempt"] == 2


def test_duplicated_frames_change_nothing(on_fleet):
    async def scenario(fleet, entry):
        expected = await baseline_tokens(fleet, entry)
        fleet.fabric.duplicate_share = 0.5
        return expected, await fleet.send_request(entry, LONG_ANSWER, 1000)

    expected, answer = on_fleet(scenario)
    assert answer.tokens == expected


def test_without_offsets_duplicated_frames_change_the_answer(on_fleet, monkeypatch):
    def accept_all(assembly, chunk):
        assembly.tokens.extend(chunk.tokens)
        return chunk.tokens

    async def scenario(fleet, entry):
        expected = await baseline_tokens(fleet, entry)
        monkeypatch.setattr(Assembly, "accept", accept_all)
        fleet.fabric.duplicate_share = 0.5
        return expected, await fleet.send_request(entry, LONG_ANSWER, 1000, deadline=20.0)

    expected, outcome = on_fleet(scenario)
    assert getattr(outcome, "tokens", ()) != expected


def test_without_heartbeats_a_silent_link_is_never_replaced(on_fleet):
    async def scenario(fleet, entry):
        for daemon in (entry, *fleet.daemons.values()):
            daemon.settings.links.silence = 1e6
        pending = asyncio.ensure_future(
            fleet.send_request(entry, LONG_ANSWER, 1000, deadline=30.0)
        )
        await asyncio.sleep(0.5)
        fleet.fabric.silence(f"{await busy_endpoint(fleet)}:1", "entry1:1")
        return await pending

    assert on_fleet(scenario).reason is Reason.DEADLINE


def test_without_resuming_a_killed_engine_cuts_the_answer(on_fleet, monkeypatch):
    monkeypatch.setattr(Dispatch, "delay_before_next", lambda *_: None)

    async def scenario(fleet, entry):
        pending = asyncio.ensure_future(fleet.send_request(entry, LONG_ANSWER, 1000))
        await asyncio.sleep(1.5)
        fleet.engines[await busy_endpoint(fleet)].die()
        return await pending

    refusal = on_fleet(scenario)
    assert refusal.outcome is Outcome.UNKNOWN


RETRY_SHARE = 0.1
MIN_RETRIES = 10


def test_a_dead_third_of_the_fleet_does_not_multiply_the_load(on_fleet):
    async def scenario(fleet, entry):
        pending = []
        for number in range(300):
            pending.append(
                asyncio.create_task(fleet.send_request(entry, number, 1000, deadline=60.0))
            )
            await asyncio.sleep(0.05)
            if number == 100:
                fleet.engines["e0"].die()
                fleet.engines["e1"].die()
        outcomes = await asyncio.gather(*pending)
        taken = sum(daemon.backends[name].accepted for name, daemon in fleet.daemons.items())
        return outcomes, taken

    outcomes, taken = on_fleet(scenario, engines=6)
    assert all(isinstance(outcome, Answer) for outcome in outcomes)
    assert taken <= (1 + RETRY_SHARE) * len(outcomes) + MIN_RETRIES
