"""A small fleet of daemons in one process, on virtual or real time."""

import asyncio
import itertools
from random import Random

import attrs

from persimmonstall.catalogue import Catalogue, Change, Model, Organisation
from persimmonstall.clock import Context
from persimmonstall.invariants import Invariants
from persimmonstall.outside.instances import Instance
from persimmonstall.settings import Settings
from persimmonstall_daemon.adapters.tokeniser import ByteTokeniser
from persimmonstall_daemon.catalogue import CatalogueFollower
from persimmonstall_daemon.catalogue.sync import LinkedPeers
from persimmonstall_daemon.endpoint.daemon import EndpointDaemon
from persimmonstall_daemon.endpoint.engine_backend import EngineBackend
from persimmonstall_daemon.endpoint.service_backend import ServiceBackend
from persimmonstall_daemon.entry.daemon import EntryDaemon
from persimmonstall_daemon.entry.policy_placer import PolicyPlacer
from persimmonstall_daemon.entry.request import CallerRequest, NullSink
from persimmonstall_daemon.observe.metrics import Metrics

from .engine import EngineModel
from .engine_state import EngineSettings
from .objects import MemoryObjects
from .service import ServiceModel
from .table import MemoryTable
from .virtual.network import Fabric

SECRET = "caller-secret"
SETTLE_SECONDS = 2.0


@attrs.frozen
class Stores:
    """The table and object store of the platform."""

    table: object
    objects: object


class FixedFollower:
    """Stand-in for `CatalogueFollower` with a fixed catalogue."""

    def __init__(self, current):
        self.current = current
        self.ready = asyncio.Event()
        self.ready.set()

    @property
    def version(self):
        """The version of the catalogue."""
        return self.current.version

    def note_version(self, version, peer):
        """Ignore the catalogue version of a peer."""


def small_catalogue(secret_hash):
    """Return a catalogue with one organisation and one model."""
    catalogue = Catalogue()
    organisation = Organisation("nilerecord", key_hashes=(secret_hash,))
    catalogue.apply(Change(1, "organisation", "nilerecord", organisation))
    catalogue.apply(Change(2, "model", "m", Model("m")))
    return catalogue


@attrs.define
class Fleet:
    """Entries and endpoint daemons on one fabric.

    `engines` and `services` are by endpoint name.  With a `table` the daemons follow the
    catalogue in it, and an instance in `tables` uses its own table.  Without a `table` claims
    are stored in `claims`.
    """

    catalogue: Catalogue
    seed: int = 1
    fabric: Fabric = attrs.field(factory=Fabric)
    entries: list = attrs.field(factory=list)
    daemons: dict = attrs.field(factory=dict)
    engines: dict = attrs.field(factory=dict)
    instances: list = attrs.field(factory=list)
    request_numbers: object = attrs.field(factory=itertools.count)
    table: object = None
    tables: dict = attrs.field(factory=dict)
    objects: MemoryObjects = attrs.field(factory=MemoryObjects)
    claims: MemoryTable = attrs.field(factory=MemoryTable)
    services: dict = attrs.field(factory=dict)
    tasks: list = attrs.field(factory=list)

    def context(self, salt):
        """Return a `Context` of the running loop's clock and a seeded random generator."""
        loop = asyncio.get_running_loop()
        return Context(loop.time, loop.time, Random(f"{self.seed}/{salt}"))

    def settings(self, name, address, role, data_centre):
        """Return the settings of one daemon."""
        settings = Settings()
        settings.daemon.instance = name
        settings.daemon.address = address
        settings.daemon.role = role
        settings.daemon.data_centre = data_centre
        return settings

    def follower(self, settings, context, peers):
        """Return the follower of a new daemon: a fixed one if there is no `table`."""
        if self.table is None:
            return FixedFollower(self.catalogue)
        table = self.tables.get(settings.daemon.instance, self.table)
        invariants = Invariants(strict=True)
        return CatalogueFollower(settings, table, self.objects, context, peers, invariants)

    def follow(self, follower, peers, daemon):
        """Start the follower of a new daemon if there is a `table`."""
        if self.table is not None:
            peers.register(follower, daemon.control_handlers)
            self.tasks.append(asyncio.create_task(follower.run()))

    def stores(self, name):
        """Return the table and object store that the instance `name` uses."""
        return Stores(self.tables.get(name, self.table or self.claims), self.objects)

    async def add_endpoint(self, name, data_centre="dc1", engine=None):
        """Start an endpoint daemon beside one engine; return the daemon."""
        self.engines[name] = engine or EngineModel(name, EngineSettings(models=("m",)))
        return await self.add_daemon(
            name, data_centre, lambda daemon: EngineBackend(name, self.engines[name], daemon)
        )

    async def add_service(self, name, service, data_centre="dc1", backend=None):
        """Start an endpoint daemon beside an instance of a plain service; return the daemon."""
        self.services[name] = backend or ServiceModel(name)
        return await self.add_daemon(
            name,
            data_centre,
            lambda daemon: ServiceBackend(name, service, self.services[name], daemon),
        )

    async def add_daemon(self, name, data_centre, make_backend):
        """Start an endpoint daemon with the back end that `make_backend` returns for it."""
        address = f"{name}:1"
        settings = self.settings(name, address, "endpoint", data_centre)
        network = self.fabric.network(address, data_centre)
        metrics = Metrics(settings)
        context = self.context(name)
        peers = LinkedPeers(settings, context, lambda: daemon.open_links())
        follower = self.follower(settings, context, peers)
        stores = self.stores(name)
        daemon = EndpointDaemon(settings, network, context, metrics, follower, stores, True)
        self.follow(follower, peers, daemon)
        daemon.add_backend(make_backend(daemon))
        await daemon.start()
        self.daemons[name] = daemon
        self.instances.append(Instance(name, "endpoint", address, data_centre))
        return daemon

    async def add_entry(self, name, data_centre="dc1", placer=None):
        """Start an entry daemon linked to every endpoint daemon; return it."""
        address = f"{name}:1"
        settings = self.settings(name, address, "entry", data_centre)
        context = self.context(name)
        peers = LinkedPeers(settings, context, lambda: entry.links.open_links())
        follower = self.follower(settings, context, peers)
        entry = EntryDaemon(
            settings,
            self.fabric.network(address, data_centre),
            context,
            Metrics(settings),
            follower,
            placer or PolicyPlacer(settings, context),
            ByteTokeniser(settings.callers.token_bytes),
            self.stores(name),
            strict=True,
        )
        self.follow(follower, peers, entry)
        await entry.start()
        entry.membership.on_list(tuple(self.instances))
        self.entries.append(entry)
        await asyncio.sleep(SETTLE_SECONDS)
        return entry

    def request(self, number, tokens, **changes):
        """Return a caller's request with a prompt of `tokens` tokens."""
        prompt = f"{number:08d}".encode() * (tokens // 2)
        loop = asyncio.get_running_loop()
        fields = {"model": "m", "max_tokens": 4096, "deadline": 120.0} | changes
        return CallerRequest(
            request_id=f"r{number}-{next(self.request_numbers)}",
            secret=SECRET,
            prompt=prompt,
            body_hash=str(number),
            arrived=loop.time(),
            **fields,
        )

    async def send_request(self, entry, number, tokens, **changes):
        """Send one request through `entry`; return its `Answer` or `Refusal`."""
        return await entry.serve(self.request(number, tokens, **changes), NullSink())

    async def stop(self):
        """Stop all daemons."""
        for entry in self.entries:
            await entry.stop()
        for daemon in self.daemons.values():
            await daemon.stop()
        for task in self.tasks:
            task.cancel()
