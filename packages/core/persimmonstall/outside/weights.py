"""The rate-limited store of model weights."""

import abc

import attrs


@attrs.frozen
class FetchGrant:
    """Permission to fetch weights; the transfer takes `seconds` at the granted rate."""

    grant: str
    seconds: float


class WeightStore(abc.ABC):
    """A store that limits concurrent fetches; it refuses further requests with a delay."""

    @abc.abstractmethod
    async def request(self, artifact, holder, timeout):
        """Request to fetch `artifact`; return a `FetchGrant` or a `Failure(Reason.BUSY)`."""

    @abc.abstractmethod
    async def finish(self, grant, timeout):
        """Release a grant, which otherwise expires; return True or a `Failure`."""
