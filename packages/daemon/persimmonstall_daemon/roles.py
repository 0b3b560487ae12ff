"""Builds the daemon of each role from its settings and runs it as an aiomisc service."""

import abc
import asyncio
import random
import signal

import aiomisc

from persimmonstall.clock import Context
from persimmonstall.invariants import Invariants

from .adapters.connect import connect_engine, connect_platform, connect_service
from .adapters.vocabulary import ByteVocabulary
from .admin.entry_view import EntryView
from .admin.server import AdminServer
from .admin.state import Administration
from .catalogue import CatalogueFollower, CatalogueStore
from .catalogue.compaction import CatalogueCompactor
from .catalogue.sync import LinkedPeers
from .endpoint.daemon import EndpointDaemon
from .endpoint.engine_backend import EngineBackend
from .endpoint.service_backend import ServiceBackend
from .entry.daemon import EntryDaemon
from .entry.http.server import HttpServer
from .entry.policy_placer import PolicyPlacer
from .membership import Leaving, Membership
from .network import GrpcNetwork
from .observe import logs
from .observe.metrics import Metrics
from .orders import OrderKeeper

LOG = logs.get("daemon")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Role(aiomisc.Service, abc.ABC):
    """What both roles share: context, metrics, signals and a graceful shutdown."""

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        seed = settings.daemon.seed or None
        self.clock = Context(random=random.Random(seed))
        self.metrics = Metrics(settings)
        self.network = GrpcNetwork(settings.security)
        self.drained = asyncio.Event()
        self.draining = None
        self.tasks = []

    def spawn(self, coroutine):
        """Run `coroutine` until the daemon stops."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self.check_end)
        self.tasks.append(task)

    def check_end(self, task):
        """Shut down gracefully when a task has ended by an unexpected error.

        A daemon without its follower or its heartbeats would go on with old state.
        """
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

    def make_follower(self, linked):
        """Make the catalogue's follower; `linked()` returns the peers with open links."""
        self.peers = LinkedPeers(self.settings, self.clock, linked)
        self.follower = CatalogueFollower(
            self.settings,
            self.platform.table,
            self.platform.objects,
            self.clock,
            self.peers,
            Invariants(on_violation=self.metrics.violation),
        )

    def follow(self, controls):
        """Start following; peers' messages arrive through `controls`."""
        self.peers.register(self.follower, controls)
        self.spawn(self.follower.run())

    def begin_drain(self):
        """Start the graceful shutdown; a second signal changes nothing."""
        if self.draining is None:
            self.draining = asyncio.create_task(self.drain())

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


class EntryRole(Role):
    """An entry: callers' HTTP, links to endpoint daemons."""

    async def start_role(self):
        """Start the catalogue, the links and the HTTP port."""
        self.platform = connect_platform(self.settings.platform)
        self.make_follower(lambda: self.entry.links.linked())
        self.entry = EntryDaemon(
            self.settings,
            self.network,
            self.clock,
            self.metrics,
            self.follower,
            PolicyPlacer(self.settings, self.clock),
            ByteVocabulary(self.settings.callers.token_bytes),
            self.platform,
            self.platform.instances,
        )
        self.follow(self.entry.controls)
        await self.entry.start()
        self.spawn(self.entry.membership.run())
        self.spawn(self.entry.tick())
        self.http = HttpServer(self.entry)
        await self.http.start()
        self.admin = AdminServer(self.administration())
        await self.admin.start()

    def administration(self):
        """Return what the operators' port works on; it alone writes the catalogue."""
        platform = self.platform
        store = CatalogueStore(self.settings, platform.table, self.clock, self.follower)
        compactor = CatalogueCompactor(
            self.settings, platform.table, platform.objects, self.follower
        )
        self.spawn(compactor.run())
        view = EntryView(self.entry)
        return Administration(self.settings, self.clock, self.follower, store, view)

    async def drain_role(self):
        """Let all requests end while the readiness check fails."""
        await self.entry.drain()

    async def stop_role(self):
        """Close the ports and the links."""
        await self.admin.stop()
        await self.http.stop()
        await self.entry.stop()
        await self.platform.close()


class EndpointRole(Role):
    """An endpoint daemon beside engines and plain services."""

    async def start_role(self):
        """Connect to the back ends and listen for entries."""
        self.platform = connect_platform(self.settings.platform)
        self.make_follower(lambda: self.daemon.linked())
        self.daemon = EndpointDaemon(
            self.settings, self.network, self.clock, self.metrics, self.follower, self.platform
        )
        self.follow(self.daemon.controls)
        for served in self.settings.endpoints.serves:
            self.daemon.add(self.backend(served))
        await self.daemon.start()
        self.keep_orders()
        self.membership = Membership(
            self.settings,
            self.clock,
            self.daemon.invariants,
            self.metrics,
            self.platform.instances,
            self.daemon.backends,
        )
        leaving = Leaving(self.daemon, self.membership)
        self.membership.subscribe(leaving.update)
        for backend in self.engines():
            backend.memory.listed = self.membership.listed_names
        self.spawn(leaving.follow(self.follower))
        self.spawn(self.membership.run())

    def keep_orders(self):
        """Bring each engine to what the catalogue wants it to serve."""
        platform = self.platform
        for backend in self.engines():
            keeper = OrderKeeper(backend, platform.table, platform.weights, self.follower)
            self.spawn(keeper.run())

    def engines(self):
        """Return the backends that are model engines."""
        backends = self.daemon.backends.values()
        return [backend for backend in backends if isinstance(backend, EngineBackend)]

    def backend(self, served):
        """Return the backend of a `name=engine@URL` or `name=service:NAME@URL` setting."""
        name, _, rest = served.partition("=")
        kind, _, url = rest.partition("@")
        kind, _, service = kind.partition(":")
        if kind == "service":
            return ServiceBackend(name, service, connect_service(url, name), self.daemon)
        return EngineBackend(name, connect_engine(url, name), self.daemon)

    async def drain_role(self):
        """Take no new work and let all streams end."""
        self.daemon.leave()
        await self.membership.leave()
        await self.daemon.drain()

    async def stop_role(self):
        """Close the port for entries."""
        await self.daemon.stop()
        await self.platform.close()


ROLES = {"entry": EntryRole, "endpoint": EndpointRole}
"""Role classes by the name in the settings."""
