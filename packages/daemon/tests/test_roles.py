import asyncio

import pytest

from persimmonstall.settings import Settings
from persimmonstall_daemon.roles import EntryRole

WAIT_SECONDS = 5.0


async def broken():
    raise KeyError("x")


async def ended():
    return None


@pytest.mark.parametrize("coroutine, shut_down", [(broken, True), (ended, False)])
def test_a_task_that_fails_unexpectedly_shuts_the_daemon_down(coroutine, shut_down):
    async def main():
        role = EntryRole(Settings())
        role.drain_role = ended
        role.spawn(coroutine())
        await asyncio.gather(*role.tasks, return_exceptions=True)
        await asyncio.sleep(0)
        assert (role.drain_task is not None) is shut_down
        if shut_down:
            await asyncio.wait_for(role.drained.wait(), WAIT_SECONDS)

    asyncio.run(main())
