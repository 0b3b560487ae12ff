"""The holder's side of the lease on sending orders to an engine."""

from persimmonstall.failures import Failure
from persimmonstall.orders.lease import (
    LEASES,
    AcquireLease,
    HeldLease,
    plan_acquisition,
    release,
    takeover_delay,
)
from persimmonstall.outside.table import Committed


class LeaseHolder:
    """Takes, renews and releases the lease on `endpoint` for the daemon run `holder`."""

    def __init__(self, settings, context, table, endpoint, holder):
        self.settings = settings
        self.context = context
        self.table = table
        self.endpoint = endpoint
        self.holder = holder
        self.held_lease = None
        self.seen_version = None
        self.seen_since = 0.0

    @property
    def timeout(self):
        """Timeout of one call to the table, in seconds."""
        return self.settings.platform.timeout

    def covers(self):
        """Return whether an order sent now would end within the lease."""
        timeout = self.settings.orders.timeout
        return self.held_lease is not None and self.held_lease.covers(self.context.now(), timeout)

    async def acquire(self, fence_checked):
        """Take or renew the lease if needed; return whether this daemon holds it.

        Another holder's lease is taken over later if `fence_checked` is false, since the engine
        would then execute late orders of that holder.
        """
        if self.covers():
            return True
        row = await self.read()
        if isinstance(row, Failure):
            return False
        unchanged = self.context.now() - self.seen_since
        delay = takeover_delay(self.settings, fence_checked)
        decision = plan_acquisition(row, self.endpoint, self.holder, unchanged, delay)
        return isinstance(decision, AcquireLease) and await self.commit(decision)

    async def read(self):
        """Return the lease's row; record since when it has been unchanged."""
        row = await self.table.read(LEASES, self.endpoint, self.timeout)
        if isinstance(row, Failure):
            return row
        version = row.version if row else 0
        if version != self.seen_version:
            self.seen_version = version
            self.seen_since = self.context.now()
        return row

    async def commit(self, decision):
        """Write the row; the lease's duration is counted from before the write was sent."""
        started = self.context.now()
        result = await self.table.commit([decision.write], self.timeout)
        if not isinstance(result, Committed):
            return False
        self.held_lease = HeldLease(decision.fence, started + self.settings.orders.lease)
        return self.covers()

    async def release(self):
        """Release the lease; if the table is unreachable, it expires instead."""
        if self.held_lease is None:
            return
        self.held_lease = None
        row = await self.table.read(LEASES, self.endpoint, self.timeout)
        if isinstance(row, Failure):
            return
        write = release(row, self.endpoint, self.holder)
        if write is not None:
            await self.table.commit([write], self.timeout)

    def mark_lost(self):
        """Drop the lease, since the engine has seen a newer fencing number."""
        self.held_lease = None
