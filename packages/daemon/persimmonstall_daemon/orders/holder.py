"""One daemon's side of the lease to order an engine."""

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
        """Time for one call of the table, in seconds."""
        return self.settings.platform.timeout

    def covers(self):
        """Return whether an order sent now reaches the engine within the lease."""
        timeout = self.settings.orders.timeout
        return self.held_lease is not None and self.held_lease.covers(self.context.now(), timeout)

    async def acquire(self, fence_checked):
        """Return whether this daemon holds the lease, after trying to take or renew it."""
        if self.covers():
            return True
        row = await self.read()
        if isinstance(row, Failure):
            return False
        unchanged = self.context.now() - self.seen_since
        longest = takeover_delay(self.settings, fence_checked)
        made = plan_acquisition(row, self.endpoint, self.holder, unchanged, longest)
        return isinstance(made, AcquireLease) and await self.commit(made)

    async def read(self):
        """Return the lease's row and note since when it has been as it is."""
        row = await self.table.read(LEASES, self.endpoint, self.timeout)
        if isinstance(row, Failure):
            return row
        version = row.version if row else 0
        if version != self.seen_version:
            self.seen_version = version
            self.seen_since = self.context.now()
        return row

    async def commit(self, made):
        """Write the row; the lease counts from before the write was sent."""
        started = self.context.now()
        result = await self.table.commit([made.write], self.timeout)
        if not isinstance(result, Committed):
            return False
        self.held_lease = HeldLease(made.fence, started + self.settings.orders.lease)
        return self.covers()

    async def release(self):
        """Give the lease back; an unreachable table lets it lapse."""
        if self.held_lease is None:
            return
        self.held_lease = None
        row = await self.table.read(LEASES, self.endpoint, self.timeout)
        if isinstance(row, Failure):
            return
        write = release(row, self.endpoint, self.holder)
        if write is not None:
            await self.table.commit([write], self.timeout)

    def lose(self):
        """Note that the engine has seen a newer fencing number."""
        self.held_lease = None
