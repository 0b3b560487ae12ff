"""Reconciles what one engine serves with the catalogue."""

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
class IssuedOrder:
    """An order sent at `at` (seconds); its effect is not yet visible in the engine's report."""

    step: object
    at: float


class OrderReconciler:
    """Compares what the engine of `backend` has loaded with the catalogue, and sends orders.

    While nothing differs, only the engine's own report is read: the lease is taken before
    the orders and released after them.  A late order of a daemon that was paused for too
    long is found by the next comparison and corrected.
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
        """Reconcile at intervals, and at once after a change of the catalogue."""
        changes = self.follower.subscribe()
        try:
            while True:
                await self.reconcile()
                await self.pause(changes)
        finally:
            self.follower.unsubscribe(changes)

    async def pause(self, changes):
        """Wait for the next poll or a change of the catalogue."""
        try:
            async with asyncio.timeout(self.context.jitter(self.settings.orders.poll)):
                await changes.get()
        except TimeoutError:
            pass

    async def reconcile(self):
        """Carry out the next step towards the desired state, if there is one."""
        desired = desired_of(self.follower.current, self.backend.name)
        load = await self.backend.engine.load(self.settings.orders.timeout)
        if isinstance(load, Failure):
            return
        self.backend.versions.update(loaded_of(load), desired)
        step = self.next_step(desired)
        await self.check_issued(step)
        if step is None:
            await self.lease.release()
        elif self.issued is None:
            await self.execute(step, desired)

    def next_step(self, desired):
        """Return the next step, or None."""
        if desired is None:
            return None
        in_use = self.backend.artifacts_in_use()
        return next_step(desired, self.backend.versions.loaded, in_use)

    async def check_issued(self, step):
        """Clear the order that was sent last once its effect is seen or overdue."""
        if self.issued is None:
            return
        if step == self.issued.step and self.context.now() < self.overdue_at():
            return
        if step == self.issued.step:
            self.metrics.count("orders_repeated")
        self.issued = None
        await self.fetches.finish()

    def overdue_at(self):
        """Return the time at which an order without visible effect is sent again."""
        orders = self.settings.orders
        if self.issued.step.loads:
            return self.issued.at + orders.load_timeout
        return self.issued.at + orders.timeout + orders.poll

    async def execute(self, step, desired):
        """Acquire the grant and the lease that the step needs, then send the order."""
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
        """Send one order, unless it could end after the lease has expired.

        This daemon may have been paused since it acquired the lease.
        """
        if not self.lease.covers():
            return
        order = Order(step.action, step.name, step.version, self.lease.held_lease.fence)
        self.issued = IssuedOrder(step, self.context.now())
        result = await self.backend.engine.order(order, self.settings.orders.timeout)
        self.metrics.count("orders", tag=str(step.action))
        if isinstance(result, Failure):
            logs.log_failure(LOG, "order not confirmed", result, order=str(step))
            if result.reason is Reason.STALE_FENCE:
                self.lease.mark_lost()
