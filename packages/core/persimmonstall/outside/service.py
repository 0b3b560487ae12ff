"""Plain services: request and response, without streaming."""

import abc

import attrs


@attrs.frozen
class ServiceCall:
    """One call; `body` is opaque, `call_id` is different each time that the call is sent."""

    call_id: str
    method: str
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class ServiceAnswer:
    """Response of the service; `status` is its HTTP status."""

    status: int
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class ServiceLoad:
    """Load report, which lags: running calls, waiting calls, and how many can run at once."""

    active: int
    waiting: int
    capacity: int


class PlainService(abc.ABC):
    """A service that may respond after a timeout and does not detect repeated calls."""

    @abc.abstractmethod
    async def call(self, call, timeout):
        """Send a `ServiceCall`; return the `ServiceAnswer` or a `Failure`.

        The call has certainly not been run after `Reason.BUSY` and after `Reason.ENDPOINT_LOST`
        with detail "not connected"; after any other failure the outcome is unknown.
        """

    @abc.abstractmethod
    async def load(self, timeout):
        """Return the `ServiceLoad` or a `Failure`."""
