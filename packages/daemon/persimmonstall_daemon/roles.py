"""Builds the daemon of each role from its settings and runs it as an aiomisc service."""

import abc
import asyncio
import random
import signal

import aiomisc

from persimmonstall.clock import Context

from .adapters.engine import HttpEngine
from .adapters.instances import HttpInstances
from .adapters.objects import HttpObjects
from .adapters.service import HttpService
from .adapters.table import HttpTable
from .adapters.vocabulary import ByteVocabulary
from .catalogue.follower import CatalogueFollower
from .endpoint.daemon import EndpointDaemon
from .endpoint.engine_backend import EngineBackend
from .entry.daemon import EntryDaemon
from .entry.http.server import HttpServer
from .entry.placer import LeastOutstanding
from .network import GrpcNetwork
from .observe import logs
from .observe.metrics import Metrics

LOG = logs.get("daemon")


class Role(aiomisc.Service, abc.ABC):
    """What both roles share: context, metrics, signals and a graceful shutdown."""

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        seed = settings.daemon.seed or None
        self.context = Context(random=random.Random(seed))
        self.metrics = Metrics(settings)
        self.network = GrpcNetwork(settings.security)
        self.drained = asyncio.Event()
        self.draining = None
        self.tasks = []

    def spawn(self, coroutine):
        """Run `coroutine` until the daemon stops."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def start(self):
        """Start everything and watch for signals."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_drain)
        self.spawn(self.metrics.run())
        await self.start_role()
        LOG.info("started", address=self.settings.daemon.address)

    def begin_drain(self):
        """Start the graceful shutdown; a second signal changes nothing."""
        if self.draining is None:
            self.draining = asyncio.create_task(self.drain())

    async def drain(self):
        """Let everything in flight end, then allow the process to exit."""
        LOG.info("draining")
        await self.drain_role()
        self.drained.set()

    async def stop(self, exception=None):
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
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
        """Close the role's ports."""
