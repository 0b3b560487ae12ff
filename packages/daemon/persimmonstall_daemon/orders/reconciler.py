"""The task that orders one engine to serve what the catalogue wants."""

import asyncio

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.orders import Artifact, desired_of, loaded_of, next_step
from persimmonstall.outside.engine import Order, OrderAction

from ..observe import logs
from .holder import LeaseHolder
from .weights import WeightFetches

LOG = logs.get("orders")
UNLOADS = (OrderAction.UNLOAD_MODEL, OrderAction.UNLOAD_ADAPTER)


@attrs.frozen
class Issued:
    """An order that was sent at `at`, in seconds; its effect is still to be read back."""

    step: object
    at: float


class OrderReconciler:
    """Compares what the engine behind `backend` has with the catalogue, and orders the rest.

    While nothing is missing it reads only the engine's own report: the lease is taken for the
    orders and given back after them.  What a daemon that paused for too long still orders is
    found by the next comparison and repaired.
    """

    def __init__(self, backend, table, weights, follower):
        daemon = backend.daemon
        self.backend = backend
        self.follower = follower
        self.settings = daemon.settings
        self.context = daemon.context
        self.metrics = daemon.metrics
        self.lease = LeaseHolder(
            daemon.settings, daemon.context, table, backend.name, daemon.run_id
        )
        self.fetches = WeightFetches(
            daemon.settings, daemon.context, weights, f"{backend.name}/{daemon.run_id}"
        )
        self.issued = None

    async def run(self):
        """Compare at intervals, and at once after a change of the catalogue."""
        changes = self.follower.subscribe()
        try:
            while True:
                await self.reconcile()
                await self.pause(changes)
        finally:
            self.follower.unsubscribe(changes)

    async def pause(self, changes):
        """Wait for the next poll or a change."""
        try:
            async with asyncio.timeout(self.context.jitter(self.settings.orders.poll)):
                await changes.get()
        except TimeoutError:
            pass

    async def reconcile(self):
        """Take the next step towards the desired state, if there is one."""
        desired = desired_of(self.follower.current, self.backend.name)
        load = await self.backend.engine.load(self.settings.orders.timeout)
        if isinstance(load, Failure):
            return
        self.backend.versions.see(loaded_of(load), desired)
        step = self.next_step(desired)
        await self.read_back(step)
        if step is None:
            await self.lease.release()
        elif self.issued is None:
            await self.take(step, desired)

    def next_step(self, desired):
        """Return the next step, None when there is none now."""
        if desired is None:
            return None
        in_use = self.backend.artifacts_in_use()
        return next_step(desired, self.backend.versions.loaded, in_use)

    async def read_back(self, step):
        """Settle the order that was sent last, once it is seen or overdue."""
        if self.issued is None:
            return
        if step == self.issued.step and self.context.now() < self.overdue():
            return
        if step == self.issued.step:
            self.metrics.count("orders_repeated")
        self.issued = None
        await self.fetches.finish()

    def overdue(self):
        """Return when an order without visible effect is sent again."""
        orders = self.settings.orders
        if self.issued.step.loads:
            return self.issued.at + orders.load_timeout
        return self.issued.at + orders.timeout + orders.poll

    async def take(self, step, desired):
        """Get what the step needs and send the order."""
        artifact = Artifact(step.name, step.version)
        if step.loads and not await self.fetches.acquire(str(artifact)):
            return
        if not await self.lease.acquire(desired.fence_checked):
            return
        if step.action in UNLOADS:
            if artifact in self.backend.artifacts_in_use():
                return
            self.backend.versions.retired.add(artifact)
        await self.send(step)

    async def send(self, step):
        """Send one order under the lease, which may have lapsed during a pause."""
        if not self.lease.covers():
            return
        order = Order(step.action, step.name, step.version, self.lease.held_lease.fence)
        self.issued = Issued(step, self.context.now())
        result = await self.backend.engine.order(order, self.settings.orders.timeout)
        self.metrics.count("orders", tag=str(step.action))
        if isinstance(result, Failure):
            logs.log_failure(LOG, "order not confirmed", result, order=str(step))
            if result.reason is Reason.STALE_FENCE:
                self.lease.lose()
