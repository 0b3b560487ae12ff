"""Registers this instance, polls the platform's list and maintains the view of the others."""

import asyncio

import attrs

from persimmonstall.membership import MembershipView
from persimmonstall.outside.instances import Instance, InstanceState

from ..observe import logs

LOG = logs.get("membership")

MAX_LIST_AGE_POLLS = 3
"""Number of poll intervals after which a list that was not read again counts as stale."""


class Membership:
    """One daemon's membership; `instances` is the platform's `InstanceList`.

    Subscribers are called when the members of the list or the leaving endpoints change.
    """

    def __init__(self, settings, context, invariants, metrics, instances, endpoints=()):
        self.settings = settings
        self.context = context
        self.metrics = metrics
        self.instances = instances
        self.endpoints = tuple(endpoints)
        self.view = MembershipView(invariants, self.on_endpoint_leaving)
        self.subscribers = []
        self.leaving = False
        self.listed_as_leaving = False
        self.listed_at = None
        self.cached_entries = None

    def subscribe(self, on_change):
        """Call `on_change()` after every change of the view."""
        self.subscribers.append(on_change)

    def notify(self):
        """Call the subscribers."""
        for on_change in self.subscribers:
            on_change()

    def on_endpoint_leaving(self, endpoint, source):
        """Log and count an endpoint that has become known to be leaving."""
        self.metrics.count("leaving_learned", tag=str(source))
        LOG.info("endpoint is leaving", endpoint=endpoint, source=str(source))

    def own_instance(self):
        """Return the `Instance` that describes this daemon."""
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
        """Register this instance once; `run` repeats it, so a failure needs no handling."""
        return await self.instances.register(self.own_instance(), self.settings.platform.timeout)

    async def leave(self):
        """Register this instance as leaving."""
        self.leaving = True
        self.cached_entries = None
        if self.instances is not None:
            await self.register()

    async def read_list(self):
        """Read the list once; the view is unchanged if the read fails."""
        listed = await self.instances.list(self.settings.platform.timeout)
        if isinstance(listed, tuple | list):
            self.on_list(listed)

    def on_list(self, listed):
        """Update the view from one read of the list."""
        now = self.context.now()
        self.listed_at = now
        self.cached_entries = None
        name = self.settings.daemon.instance
        before = self.view.leaving, self.listed_as_leaving
        self.update_own_state(listed)
        others = tuple(instance for instance in listed if instance.name != name)
        changed = self.view.on_list(others, now)
        if changed or before != (self.view.leaving, self.listed_as_leaving):
            self.notify()
        self.metrics.gauge("peers", len(self.view.members("entry")), tag="entry")
        self.metrics.gauge("peers", len(self.view.members("endpoint")), tag="endpoint")

    def update_own_state(self, listed):
        """Record whether the list shows this instance as leaving.

        An item with another address is from an earlier process and is ignored.
        """
        daemon = self.settings.daemon
        for instance in listed:
            if (instance.name, instance.address) == (daemon.instance, daemon.address):
                self.listed_as_leaving = instance.state is InstanceState.LEAVING

    def on_drains(self, names):
        """Apply the drain marks of the active catalogue."""
        before = self.view.leaving
        self.view.on_drains(names)
        if before != self.view.leaving:
            self.notify()

    def on_hello(self, hello):
        """Handle the Hello message of a peer."""
        endpoints = tuple(load.endpoint for load in hello.endpoints)
        self.view.on_contact(hello.instance, self.context.now(), hello.run, endpoints)
        self.on_loads(hello.instance, hello.endpoints)

    def on_loads(self, name, loads):
        """Record which of a peer's endpoints are leaving according to its load report."""
        before = self.view.leaving
        self.view.on_contact(name, self.context.now())
        self.view.on_leaving(name, [load.endpoint for load in loads if load.leaving])
        self.view.on_not_leaving(name, [load.endpoint for load in loads if not load.leaving])
        if before != self.view.leaving:
            self.notify()

    def on_leaving(self, name, endpoints):
        """Record that the peer `name` has reported that its `endpoints` are leaving."""
        before = self.view.leaving
        self.view.on_leaving(name, endpoints)
        if before != self.view.leaving:
            self.notify()

    def listed_names(self):
        """Return the names of the other known instances, or None if the list is stale."""
        max_age = MAX_LIST_AGE_POLLS * self.settings.platform.list_poll
        if self.listed_at is None or self.context.now() - self.listed_at > max_age:
            return None
        return set(self.view.peers)

    def entries(self):
        """Return the live entries as `Instance`s, including this daemon if it is one.

        The result is cached for each read of the list, because every admission needs it.
        """
        if self.cached_entries is None:
            self.cached_entries = self.find_entries()
        return self.cached_entries

    def find_entries(self):
        """Return the entries that are live according to the list, and this daemon if it is one."""
        listed = self.view.members("entry")
        if self.settings.daemon.role != "entry" or self.leaving:
            return listed
        return (*listed, attrs.evolve(self.own_instance(), state=InstanceState.LIVE))

    async def run(self):
        """Register and read the list until cancelled."""
        while True:
            await self.register()
            await self.read_list()
            await asyncio.sleep(self.context.jitter(self.settings.platform.list_poll))
