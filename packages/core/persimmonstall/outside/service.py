"""Plain services: request and answer, without streaming."""

import abc

import attrs


@attrs.frozen
class ServiceCall:
    """One call: `body` is opaque bytes; `call_id` is unique for each hand-over."""

    call_id: str
    method: str
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class ServiceAnswer:
    """The service's own answer; `status` is its HTTP status."""

    status: int
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class ServiceLoad:
    """Lagging load report: calls in progress, calls waiting, and how many run at once."""

    active: int
    waiting: int
    capacity: int


class PlainService(abc.ABC):
    """May answer late, after its caller gave up; does not recognise repeated calls."""

    @abc.abstractmethod
    async def call(self, call, timeout):
        """Run `ServiceCall`: `ServiceAnswer`, or a `Failure`.

        Only `Failure(Reason.BUSY)` and `Failure(Reason.ENDPOINT_LOST)` with detail
        "not connected" are certain not to have run; any other has an unknown outcome.
        """

    @abc.abstractmethod
    async def load(self, timeout):
        """Return the `ServiceLoad` or a `Failure`."""
