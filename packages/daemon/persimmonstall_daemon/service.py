"""What the daemons of all roles share: context, metrics, tasks, signals, graceful shutdown."""

import abc
import asyncio
import random
import signal

import aiomisc

from persimmonstall.clock import Context

from .observe import logs

LOG = logs.get("daemon")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DaemonService(aiomisc.Service, abc.ABC):
    """A role's tasks around its settings; `drained` is set when the process may exit."""

    def __init__(self, settings, metrics, clock=None):
        super().__init__()
        self.settings = settings
        seed = settings.daemon.seed or None
        self.clock = clock or Context(random=random.Random(seed))
        self.metrics = metrics
        self.drained = asyncio.Event()
        self.drain_task = None
        self.tasks = set()

    def spawn(self, coroutine):
        """Run `coroutine` until the daemon stops."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self.check_end)
        self.tasks.add(task)

    def check_end(self, task):
        """Shut down gracefully when a task has ended by an unexpected error.

        A daemon without its follower or its heartbeats would go on with old state.
        """
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.metrics.count("bugs")
        LOG.error("bug", error=repr(task.exception()), exc_info=task.exception())
        self.begin_drain()

    async def start(self):
        """Start everything and watch for signals."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.begin_drain)
        self.spawn(self.metrics.run())
        await self.start_role()
        LOG.info("started", address=self.settings.daemon.address)

    def begin_drain(self):
        """Start the graceful shutdown; a second signal changes nothing."""
        if self.drain_task is None:
            self.drain_task = asyncio.create_task(self.drain())

    async def drain(self):
        """Let everything in flight end, then allow the process to exit."""
        LOG.info("draining")
        await self.drain_role()
        self.ignore_signals()
        self.drained.set()

    def ignore_signals(self):
        """Let a late second signal change nothing.

        Closing the loop restores the default action, which would kill the process on its way out.
        """
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    async def stop(self, exception=None):
        """End all tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.stop_role()
        LOG.info("stopped")

    @abc.abstractmethod
    async def start_role(self):
        """Start the role's tasks."""

    @abc.abstractmethod
    async def drain_role(self):
        """Wait until nothing is in flight."""

    @abc.abstractmethod
    async def stop_role(self):
        """Close what the role has open."""
