"""The rate-limited weight store over HTTP."""

from persimmonstall.outside.weights import WeightStore

from . import wire
from .caller import HttpCaller


class HttpWeights(HttpCaller, WeightStore):
    """A grant whose answer is lost lapses by itself."""

    calls = wire.WEIGHTS

    async def request(self, artifact, holder, timeout):
        """Ask to fetch `artifact`: a `FetchGrant`, or a `Failure`."""
        return await self.call("request", (artifact, holder), timeout)

    async def finish(self, grant, timeout):
        """Give a grant back.  True or a `Failure`."""
        return await self.call("finish", (grant,), timeout)
