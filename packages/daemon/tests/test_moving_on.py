"""A short request on a frozen engine is retried elsewhere, long before the silence timeout."""

import asyncio

import pytest

from persimmonstall.settings import Settings
from persimmonstall_daemon.entry.request import Answer

MAX_FIRST_TOKEN_SECONDS = 1.5
SILENCE = Settings().endpoints.step_silence


async def freeze_accepting_engine(fleet, entry):
    """Freeze the engine that accepts a request; return the time to first token in seconds.

    Twelve requests are served before.
    """
    loop = asyncio.get_running_loop()
    for number in range(12):
        await fleet.send_request(entry, number, 1_000)
    for engine in fleet.engines.values():
        engine.freeze()
    pending = asyncio.ensure_future(fleet.send_request(entry, 99, 1_000))
    started_at = loop.time()
    await asyncio.sleep(0.2)
    accepted = [name for name, engine in fleet.engines.items() if engine.calls.deferred]
    for name, engine in fleet.engines.items():
        if name not in accepted:
            engine.thaw()
    answer = await pending
    assert isinstance(answer, Answer)
    assert answer.endpoint not in accepted
    return answer.first_token_at - started_at


def test_first_token_comes_from_another_engine(on_fleet):
    assert on_fleet(freeze_accepting_engine) < MAX_FIRST_TOKEN_SECONDS


def test_without_late_retry_it_waits_for_the_silence_timeout(on_fleet):
    async def scenario(fleet, entry):
        entry.may_retry_late = lambda work, endpoint: False
        return await freeze_accepting_engine(fleet, entry)

    assert on_fleet(scenario) > SILENCE / 2


@pytest.mark.parametrize("offset", [0.0, 0.25, 0.5, 0.75])
def test_idle_engine_that_is_silent_for_a_while_does_not_count_as_dead(on_fleet, offset):
    """An engine without work made no steps, so one unanswered poll counted as its death."""

    async def scenario(fleet, entry):
        (engine,) = fleet.engines.values()
        await asyncio.sleep(2 * SILENCE + offset)
        engine.freeze()
        await asyncio.sleep(0.9 * SILENCE)
        engine.thaw()
        assert isinstance(await fleet.send_request(entry, 1, 1_000), Answer)
        assert not any(daemon.metrics.totals["engines_died"] for daemon in fleet.daemons.values())

    on_fleet(scenario, engines=1)
