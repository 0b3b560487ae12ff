"""The platform's list of instances over HTTP."""

from persimmonstall.outside.instances import InstanceList

from . import wire
from .caller import HttpCaller


class HttpInstances(HttpCaller, InstanceList):
    """A registration is repeated as a heartbeat, so that a lost answer does no harm."""

    calls = wire.INSTANCES

    async def list(self, timeout):
        """Return a tuple of `Instance`, or a `Failure`."""
        return await self.call("list", (), timeout, reading=True)

    async def register(self, instance, timeout):
        """Announce `instance` and its state.  True or a `Failure`."""
        return await self.call("register", (instance,), timeout)
