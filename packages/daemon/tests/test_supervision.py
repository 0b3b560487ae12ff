"""Loops of a daemon go on after an unexpected error."""

import asyncio
import itertools

from persimmonstall.settings.schema import Settings
from persimmonstall_daemon.observe.prometheus import PrometheusMetrics
from persimmonstall_daemon.service import DaemonService
from persimmonstall_standins.virtual import loop as virtual_loop


class IdleService(DaemonService):
    """A daemon without a role; `drains` counts its shutdowns."""

    drains = 0

    async def start_role(self):
        """Start nothing."""

    async def drain_role(self):
        """Count the shutdown."""
        self.drains += 1

    async def stop_role(self):
        """Stop nothing."""


def test_loop_that_meets_an_error_runs_again_and_the_daemon_goes_on():
    async def scenario():
        service = IdleService(Settings(), PrometheusMetrics())
        runs = []

        async def run():
            runs.append(asyncio.get_running_loop().time())
            if len(runs) < 4:
                raise RecursionError("odd item")

        await service.supervise(run)
        return runs, service.drains, service.metrics.values

    runs, drains, values = virtual_loop.run(scenario())
    assert (len(runs), drains) == (4, 0)
    assert min(later - earlier for earlier, later in itertools.pairwise(runs)) > 0.0
    assert "bugs" in str(values)


def test_loop_that_is_cancelled_does_not_run_again():
    async def scenario():
        service = IdleService(Settings(), PrometheusMetrics())
        runs = []

        async def run():
            runs.append(1)
            await asyncio.sleep(60)

        task = service.supervise(run)
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.wait((task,))
        return len(runs), task.cancelled()

    assert virtual_loop.run(scenario()) == (1, True)
