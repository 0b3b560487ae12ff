"""HTTP client of the platform's list of instances."""

from persimmonstall.outside.instances import InstanceList

from . import wire
from .http_client import HttpClient


class HttpInstances(HttpClient, InstanceList):
    """Client of the instance list.

    Registration is repeated as a heartbeat, so a lost response needs no handling.
    """

    calls = wire.INSTANCES

    async def list(self, timeout):
        """Return a tuple of `Instance`, or a `Failure`."""
        return await self.call("list", (), timeout, reading=True)

    async def register(self, instance, timeout):
        """Register `instance` with its state; return True or a `Failure`."""
        return await self.call("register", (instance,), timeout)
