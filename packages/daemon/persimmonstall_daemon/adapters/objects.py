"""HTTP client of the platform's object store."""

from persimmonstall.outside.objects import ObjectStore

from . import wire
from .http_client import HttpClient


class HttpObjects(HttpClient, ObjectStore):
    """Client of the object store; a write without a response has an unknown outcome."""

    calls = wire.OBJECTS

    async def put(self, name, data, timeout):
        """Store `data` under `name`; return True or a `Failure`."""
        return await self.call("put", (name, data), timeout)

    async def get(self, name, timeout):
        """Return the bytes stored under `name`, None when absent, or a `Failure`."""
        return await self.call("get", (name,), timeout, reading=True)

    async def list(self, prefix, timeout):
        """Return the names that start with `prefix`, sorted, or a `Failure`."""
        return await self.call("list", (prefix,), timeout, reading=True)

    async def delete(self, name, timeout):
        """Delete `name`; return True or a `Failure`."""
        return await self.call("delete", (name,), timeout)
