"""HTTP client of the platform's table service."""

from persimmonstall.failures import Reason
from persimmonstall.outside.table import Table

from . import wire
from .http_client import HttpClient


class HttpTable(HttpClient, Table):
    """Client of the table.

    A commit without a response has an unknown outcome; one that did not connect had no effect.
    """

    calls = wire.TABLE
    no_effect_reason = Reason.TABLE_DOWN

    async def read(self, table, key, timeout):
        """Return the `Row`, None when absent, or a `Failure`."""
        return await self.call("read", (table, key), timeout, reading=True)

    async def scan(self, table, prefix, after, limit, timeout):
        """Return up to `limit` rows with `prefix` and key > `after`, in key order."""
        return await self.call("scan", (table, prefix, after, limit), timeout, reading=True)

    async def commit(self, writes, timeout):
        """Apply all `Write`s or none; return `Committed`, `Conflict` or a `Failure`."""
        return await self.call("commit", (tuple(writes),), timeout)
