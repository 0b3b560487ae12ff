"""Registers this instance, reads the platform's list and keeps the view of the others."""

import asyncio

import attrs

from persimmonstall.membership import MembershipView
from persimmonstall.outside.instances import Instance, InstanceState

from ..observe import logs

LOG = logs.get("membership")

FRESH_POLLS = 3
"""Polls after which a list that could not be read again is no longer relied on."""


class Membership:
    """The view of one daemon; `instances` is the platform's `InstanceList`.

    `on_change()` is called when the list's members or what is leaving has changed.
    """

    def __init__(self, settings, context, invariants, metrics, instances, endpoints=()):
        self.settings = settings
        self.context = context
        self.metrics = metrics
        self.instances = instances
        self.endpoints = tuple(endpoints)
        self.view = MembershipView(invariants, self.learned)
        self.subscribers = []
        self.leaving = False
        self.own_listed_leaving = False
        self.listed_at = None
        self.live_entries = None

    def subscribe(self, on_change):
        """Call `on_change()` after every change of the view."""
        self.subscribers.append(on_change)

    def changed(self):
        """Tell the subscribers."""
        for on_change in self.subscribers:
            on_change()

    def learned(self, endpoint, source):
        """Log and count an endpoint newly known to be leaving."""
        self.metrics.count("leaving_learned", tag=str(source))
        LOG.info("endpoint is leaving", endpoint=endpoint, source=str(source))

    def own(self):
        """Return the `Instance` that stands for this daemon."""
        daemon = self.settings.daemon
        state = InstanceState.LEAVING if self.leaving else InstanceState.LIVE
        return Instance(
            daemon.instance,
            daemon.role,
            daemon.address,
            daemon.data_centre,
            daemon.region,
            state,
            self.endpoints,
        )

    async def register(self):
        """Announce this instance once; a failure is repaired by the next round."""
        return await self.instances.register(self.own(), self.settings.platform.timeout)

    async def leave(self):
        """Announce that this instance is leaving."""
        self.leaving = True
        self.live_entries = None
        if self.instances is not None:
            await self.register()

    async def refresh(self):
        """Read the list once; an unreadable list leaves the view as it is."""
        found = await self.instances.list(self.settings.platform.timeout)
        if isinstance(found, tuple | list):
            self.on_list(found)

    def on_list(self, found):
        """Take in one read of the list."""
        now = self.context.now()
        self.listed_at = now
        self.live_entries = None
        name = self.settings.daemon.instance
        before = self.view.leaving, self.own_listed_leaving
        self.take_own(found)
        others = tuple(instance for instance in found if instance.name != name)
        changed = self.view.on_list(others, now)
        if changed or before != (self.view.leaving, self.own_listed_leaving):
            self.changed()
        self.metrics.gauge("peers", len(self.view.members("entry")), tag="entry")
        self.metrics.gauge("peers", len(self.view.members("endpoint")), tag="endpoint")

    def take_own(self, found):
        """Note what the list says of this instance; an entry of another address is older."""
        daemon = self.settings.daemon
        for instance in found:
            if (instance.name, instance.address) == (daemon.instance, daemon.address):
                self.own_listed_leaving = instance.state is InstanceState.LEAVING

    def on_drains(self, names):
        """Take the drain marks of the catalogue in force."""
        before = self.view.leaving
        self.view.on_drains(names)
        if before != self.view.leaving:
            self.changed()

    def on_hello(self, hello):
        """Take a peer's introduction."""
        endpoints = tuple(load.endpoint for load in hello.endpoints)
        self.view.on_contact(hello.instance, self.context.now(), hello.run, endpoints)
        self.on_loads(hello.instance, hello.endpoints)

    def on_loads(self, name, loads):
        """Take what a peer says of its endpoints' leaving along with their loads."""
        before = self.view.leaving
        self.view.on_contact(name, self.context.now())
        self.view.on_leaving(name, [load.endpoint for load in loads if load.leaving])
        self.view.on_not_leaving(name, [load.endpoint for load in loads if not load.leaving])
        if before != self.view.leaving:
            self.changed()

    def on_leaving(self, name, endpoints):
        """Take a peer's own word that these endpoints are leaving."""
        before = self.view.leaving
        self.view.on_leaving(name, endpoints)
        if before != self.view.leaving:
            self.changed()

    def listed_names(self):
        """Return the names of the other instances on the list; None if not read lately."""
        freshness = FRESH_POLLS * self.settings.platform.list_poll
        if self.listed_at is None or self.context.now() - self.listed_at > freshness:
            return None
        return set(self.view.peers)

    def entries(self):
        """Return the live entries as `Instance`s, this daemon included if it is one.

        They are worked out once for each read of the list, since every admission asks.
        """
        if self.live_entries is None:
            self.live_entries = self.find_entries()
        return self.live_entries

    def find_entries(self):
        """Return the entries that the list calls live, and this daemon if it is one."""
        found = self.view.members("entry")
        if self.settings.daemon.role != "entry" or self.leaving:
            return found
        return (*found, attrs.evolve(self.own(), state=InstanceState.LIVE))

    async def run(self):
        """Register and read the list until cancelled."""
        while True:
            await self.register()
            await self.refresh()
            await asyncio.sleep(self.context.jitter(self.settings.platform.list_poll))
