"""The rate-limited store of model weights."""

import abc

import attrs


@attrs.frozen
class FetchGrant:
    """Permission to fetch; `seconds` is the expected transfer time at the granted rate."""

    grant: str
    seconds: float


class WeightStore(abc.ABC):
    """Limits how many fetches run at once; an excess request is refused with a delay."""

    @abc.abstractmethod
    async def request(self, artifact, holder, timeout):
        """Ask to fetch `artifact`: a `FetchGrant`, or a `Failure(Reason.BUSY)`."""

    @abc.abstractmethod
    async def finish(self, grant, timeout):
        """Give a grant back; an unfinished grant lapses by itself.  True or a `Failure`."""
