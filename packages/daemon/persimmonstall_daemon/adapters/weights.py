"""HTTP client of the rate-limited weight store."""

from persimmonstall.outside.weights import WeightStore

from . import wire
from .http_client import HttpClient


class HttpWeights(HttpClient, WeightStore):
    """Client of the weight store; a grant whose response was lost expires."""

    calls = wire.WEIGHTS

    async def request(self, artifact, holder, timeout):
        """Request a grant to fetch `artifact`; return a `FetchGrant` or a `Failure`."""
        return await self.call("request", (artifact, holder), timeout)

    async def finish(self, grant, timeout):
        """Release a grant; return True or a `Failure`."""
        return await self.call("finish", (grant,), timeout)
