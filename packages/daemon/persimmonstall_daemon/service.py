"""Base of the daemons of all roles: clock, metrics, tasks, signals and graceful shutdown."""

import abc
import asyncio
import random
import signal

import aiomisc

from persimmonstall.clock import Context

from .observe import logs

LOG = logs.get("daemon")

RESTART_SECONDS = 0.25
"""Pause after an unexpected error before a supervised loop runs again."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class DaemonService(aiomisc.Service, abc.ABC):
    """Runs the tasks of a role; `drained` is set when the process may exit."""

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
        """Run `coroutine` until the daemon stops; return its task."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self.on_task_done)
        self.tasks.add(task)
        return task

    def supervise(self, run):
        """Run the coroutine function `run` until the daemon stops; return its task.

        After an unexpected error it is run again.  A loop that follows what others write would
        otherwise end with one odd item, at all daemons at once, and leave them with stale state.
        """
        return self.spawn(self.run_again(run))

    async def run_again(self, run):
        """Await `run()` until it returns; log unexpected errors."""
        while True:
            try:
                return await run()
            except Exception as error:
                self.log_bug(error)
            await asyncio.sleep(RESTART_SECONDS)

    def on_task_done(self, task):
        """Shut down gracefully if a task has ended with an unexpected error."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.log_bug(task.exception())
        self.begin_drain()

    def log_bug(self, error):
        """Log and count an unexpected error."""
        self.metrics.count("bugs")
        LOG.error("bug", error=repr(error), exc_info=error)

    async def start(self):
        """Handle stop signals and start the role."""
        loop = asyncio.get_running_loop()
        for signum in STOP_SIGNALS:
            loop.add_signal_handler(signum, self.begin_drain)
        self.spawn(self.metrics.run())
        await self.start_role()
        LOG.info("started", address=self.settings.daemon.address)

    def begin_drain(self):
        """Start the graceful shutdown; a second signal has no effect."""
        if self.drain_task is None:
            self.drain_task = asyncio.create_task(self.drain())

    async def drain(self):
        """Wait until nothing is in flight, then allow the process to exit."""
        LOG.info("draining")
        await self.drain_role()
        self.ignore_signals()
        self.drained.set()

    def ignore_signals(self):
        """Ignore further signals.

        Closing the loop restores the default action, which would kill the process as it exits.
        """
        loop = asyncio.get_running_loop()
        for signum in HANDLED_SIGNALS:
            loop.remove_signal_handler(signum)
            signal.signal(signum, signal.SIG_IGN)

    async def stop(self, exception=None):
        """Cancel all tasks and stop the role."""
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
        """Finish the role's work in progress."""

    @abc.abstractmethod
    async def stop_role(self):
        """Close the role's sockets and connections."""
