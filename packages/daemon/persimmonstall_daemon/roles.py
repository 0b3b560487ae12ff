"""Builds the daemon of each role from its settings and runs it as an aiomisc service."""

from persimmonstall.invariants import Invariants

from .adapters.connect import connect_engine, connect_platform, connect_service
from .adapters.tokeniser import ByteTokeniser
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
from .membership import LeavingTracker, Membership
from .network import GrpcNetwork
from .observe.metrics import Metrics
from .orders import OrderReconciler
from .service import DaemonService


class LinkedRole(DaemonService):
    """Base class of the roles that are linked to other daemons."""

    def __init__(self, settings):
        super().__init__(settings, Metrics(settings))
        self.network = GrpcNetwork(settings.security)

    def make_follower(self, open_links):
        """Create the catalogue's follower; `open_links()` returns the peers with open links."""
        self.peers = LinkedPeers(self.settings, self.clock, open_links)
        self.follower = CatalogueFollower(
            self.settings,
            self.platform.table,
            self.platform.objects,
            self.clock,
            self.peers,
            Invariants(on_violation=self.metrics.violation),
        )

    def start_following(self, control_handlers):
        """Start following the catalogue; peers' messages arrive through `control_handlers`."""
        self.peers.register(self.follower, control_handlers)
        self.supervise(self.follower.run)


class EntryRole(LinkedRole):
    """An entry: HTTP server for callers, links to endpoint daemons."""

    async def start_role(self):
        """Start the catalogue, the links and the HTTP port."""
        self.platform = connect_platform(self.settings.platform)
        self.make_follower(lambda: self.entry.links.open_links())
        self.entry = EntryDaemon(
            self.settings,
            self.network,
            self.clock,
            self.metrics,
            self.follower,
            PolicyPlacer(self.settings, self.clock),
            ByteTokeniser(self.settings.callers.token_bytes),
            self.platform,
            self.platform.instances,
        )
        self.start_following(self.entry.control_handlers)
        await self.entry.start()
        self.supervise(self.entry.membership.run)
        self.supervise(self.entry.tick)
        self.http = HttpServer(self.entry)
        await self.http.start()
        self.admin = AdminServer(self.make_administration())
        await self.admin.start()

    def make_administration(self):
        """Return the services of the admin port, the only writer of the catalogue."""
        platform = self.platform
        store = CatalogueStore(self.settings, platform.table, self.clock, self.follower)
        compactor = CatalogueCompactor(
            self.settings, platform.table, platform.objects, self.follower
        )
        self.supervise(compactor.run)
        view = EntryView(self.entry)
        return Administration(self.settings, self.clock, self.follower, store, view)

    async def drain_role(self):
        """Let all requests finish while the readiness check fails."""
        await self.entry.drain()

    async def stop_role(self):
        """Close the ports and the links."""
        await self.admin.stop()
        await self.http.stop()
        await self.entry.stop()
        await self.platform.close()


class EndpointRole(LinkedRole):
    """An endpoint daemon in front of engines and plain services."""

    async def start_role(self):
        """Connect to the back ends and listen for entries."""
        self.platform = connect_platform(self.settings.platform)
        self.make_follower(lambda: self.daemon.open_links())
        self.daemon = EndpointDaemon(
            self.settings, self.network, self.clock, self.metrics, self.follower, self.platform
        )
        self.start_following(self.daemon.control_handlers)
        for served in self.settings.endpoints.serves:
            self.daemon.add_backend(self.make_backend(served))
        await self.daemon.start()
        self.start_order_reconcilers()
        self.membership = Membership(
            self.settings,
            self.clock,
            self.daemon.invariants,
            self.metrics,
            self.platform.instances,
            self.daemon.backends,
        )
        leaving = LeavingTracker(self.daemon, self.membership)
        self.membership.subscribe(leaving.update)
        for backend in self.engines():
            backend.memory.listed_instances = self.membership.listed_names
        self.supervise(lambda: leaving.follow(self.follower))
        self.supervise(self.membership.run)

    def start_order_reconcilers(self):
        """Start a task for each engine that makes it serve what the catalogue assigns to it."""
        platform = self.platform
        for backend in self.engines():
            reconciler = OrderReconciler(backend, platform.table, platform.weights, self.follower)
            self.supervise(reconciler.run)

    def engines(self):
        """Return the backends that are model engines."""
        backends = self.daemon.backends.values()
        return [backend for backend in backends if isinstance(backend, EngineBackend)]

    def make_backend(self, served):
        """Return the backend of a `name=engine@URL` or `name=service:NAME@URL` setting."""
        name, _, rest = served.partition("=")
        kind, _, url = rest.partition("@")
        kind, _, service = kind.partition(":")
        if kind == "service":
            return ServiceBackend(name, service, connect_service(url, name), self.daemon)
        return EngineBackend(name, connect_engine(url, name), self.daemon)

    async def drain_role(self):
        """Accept no new work and let all streams finish."""
        self.daemon.leave()
        await self.membership.leave()
        await self.daemon.drain()

    async def stop_role(self):
        """Close the port for entries and the platform's connections."""
        await self.daemon.stop()
        await self.platform.close()


ROLES = {"entry": EntryRole, "endpoint": EndpointRole}
"""Role classes by the name in the settings."""


def make_role(settings):
    """Return the service of the role that the settings name."""
    role_class = ROLES.get(settings.daemon.role)
    if role_class is None:
        raise SystemExit(
            f"role {settings.daemon.role} is not run by persimmonstalld but by a platform adapter"
        )
    return role_class(settings)
