"""In-memory stand-in for the rate-limited weight store."""

import asyncio

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.weights import FetchGrant, WeightStore

from .faults import FaultyStore


@attrs.frozen
class WeightLimits:
    """Limits of the store: concurrent grants, bytes per second of each, seconds until expiry.

    `artifact_bytes` is the size assumed for every artifact.
    """

    grants: int = 2
    rate: float = 2e9
    expiry: float = 60.0
    artifact_bytes: float = 1.6e10


class MemoryWeights(FaultyStore, WeightStore):
    """Grants fetches; `holders` maps each grant to (holder, artifact, expiry time)."""

    def __init__(self, limits=None, faults=None, **options):
        super().__init__(faults, name="weights", **options)
        self.limits = limits or WeightLimits()
        self.holders = {}
        self.issued = 0
        self.max_concurrent = 0

    async def request(self, artifact, holder, timeout):
        """Request a fetch of `artifact`; return a `FetchGrant` or `Failure(Reason.BUSY)`."""
        return await self.run_write("request", lambda: self.grant_now(artifact, holder), timeout)

    async def finish(self, grant, timeout):
        """Release a grant; return True or a `Failure`."""
        return await self.run_write("finish", lambda: self.finish_now(grant), timeout)

    def grant_now(self, artifact, holder):
        """Issue a grant, or return a `Failure` with the seconds after which to retry."""
        now = asyncio.get_running_loop().time()
        self.holders = {name: held for name, held in self.holders.items() if held[2] > now}
        seconds = self.limits.artifact_bytes / self.limits.rate
        if len(self.holders) >= self.limits.grants:
            return Failure(Reason.BUSY, "request", self.name, f"retry after {seconds}")
        self.issued += 1
        grant = f"grant-{self.issued}"
        self.holders[grant] = (holder, artifact, now + self.limits.expiry)
        self.max_concurrent = max(self.max_concurrent, len(self.holders))
        return FetchGrant(grant, seconds)

    def finish_now(self, grant):
        """Remove a grant if it is there."""
        self.holders.pop(grant, None)
        return True
