"""The platform's table service over HTTP."""

from persimmonstall.failures import Reason
from persimmonstall.outside.table import Table

from . import wire
from .caller import HttpCaller


class HttpTable(HttpCaller, Table):
    """A commit without an answer is ambiguous, one that never connected had no effect."""

    calls = wire.TABLE
    refused = Reason.TABLE_DOWN

    async def read(self, table, key, timeout):
        """Return the `Row`, None when absent, or a `Failure`."""
        return await self.call("read", (table, key), timeout, reading=True)

    async def scan(self, table, prefix, after, limit, timeout):
        """Return up to `limit` rows in key order with `prefix` and key > `after`."""
        return await self.call("scan", (table, prefix, after, limit), timeout, reading=True)

    async def commit(self, writes, timeout):
        """Apply all `Write`s or none: return `Committed`, `Conflict` or a `Failure`."""
        return await self.call("commit", (tuple(writes),), timeout)
