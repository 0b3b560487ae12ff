"""A short request leaves an engine that froze, long before its silence is noticed."""

import asyncio

from persimmonstall.settings import Settings
from persimmonstall_daemon.entry.request import Answer

FIRST_TOKEN_WITHIN = 1.5
SILENCE = Settings().endpoints.step_silence


async def freeze_under_a_request(fleet, entry):
    """Freeze the engine that gets the second request; return seconds to its first token."""
    loop = asyncio.get_running_loop()
    for number in range(12):
        await fleet.ask(entry, number, 1_000)
    for engine in fleet.engines.values():
        engine.freeze()
    asked = asyncio.ensure_future(fleet.ask(entry, 99, 1_000))
    began = loop.time()
    await asyncio.sleep(0.2)
    accepted = [name for name, engine in fleet.engines.items() if engine.deferred]
    for name, engine in fleet.engines.items():
        if name not in accepted:
            engine.thaw()
    answer = await asked
    assert isinstance(answer, Answer)
    assert answer.endpoint not in accepted
    return answer.first_token_at - began


def test_first_token_comes_from_another_engine(on_fleet):
    assert on_fleet(freeze_under_a_request) < FIRST_TOKEN_WITHIN


def test_with_the_mechanism_off_it_waits_for_the_silence(on_fleet):
    async def scenario(fleet, entry):
        entry.may_retry_late = lambda work, endpoint: False
        return await freeze_under_a_request(fleet, entry)

    assert on_fleet(scenario) > SILENCE / 2
