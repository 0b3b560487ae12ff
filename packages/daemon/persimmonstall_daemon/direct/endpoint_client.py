"""HTTP client for endpoints; it opens a new connection for each call.

On a connection of its own, a call cannot receive the answer of another call or of an earlier
attempt, and closing the connection cancels the call at the endpoint.
"""

import asyncio

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from persimmonstall.direct.messages import ResponseHead
from persimmonstall.failures import Failure, Reason

from ..bounded_http import (
    READ_BUFFER_BYTES,
    AnswerRejected,
    BoundedConnector,
    BoundedRequest,
    ConnectionBroken,
    describe,
    open_session,
)
from ..exact_headers import has_control_character, to_text, write_requests_exactly
from .connecting import (
    CATCH_UP_SECONDS,
    CONNECT_SECONDS,
    RECEIVE_BYTES,
    SUSPENSION_SECONDS,
    ConnectLimit,
    bounded_socket,
    keepalive_socket,
    progress_reports,
    wait_past_suspension,
)
from .held_body import payload_of

STEP = "send"
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

MAX_LINE_BYTES = 16384
"""Longest line in the head of an endpoint's answer."""

SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type", "Cookie")
"""Headers that aiohttp would otherwise add to a call."""

NOT_CONNECTED = "not connected"
NOT_CONNECTED_IN_TIME = f"{NOT_CONNECTED} in time"

EXACT_TARGET = ":target"
"""Pseudo-header that passes a request's target to `ExactRequest`; it is never sent."""


@attrs.frozen
class ExactTarget:
    """Replaces the URL while aiohttp writes the request line; keeps the target byte for byte."""

    raw_path_qs: str


class ExactRequest(BoundedRequest):
    """A request that sends its target unchanged; a URL would drop an empty query."""

    async def send(self, conn):
        """Write the request with its exact target."""
        url, self.url = self.url, ExactTarget(self.headers.pop(EXACT_TARGET, self.url.raw_path_qs))
        try:
            return await super().send(conn)
        finally:
            self.url = url


def make_session(
    request_class=BoundedRequest,
    trace_configs=(),
    socket_factory=keepalive_socket,
    read_bufsize=READ_BUFFER_BYTES,
    **options,
):
    """Return an HTTP client session with bounded answers; `options` are those of its connector.

    It neither adds headers nor decodes bodies.
    """
    connector = BoundedConnector(
        limit=0, socket_factory=socket_factory, happy_eyeballs_delay=None, **options
    )
    return open_session(
        connector,
        read_bufsize=read_bufsize,
        request_class=request_class,
        trace_configs=trace_configs,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
    )


@attrs.define
class EndpointAnswer:
    """An endpoint's answer: its `ResponseHead`, and the body, which is read as it arrives."""

    head: ResponseHead
    response: object

    async def read(self, timeout):
        """Return the next bytes, empty at the end of a complete body, or a `Failure`.

        Raise TimeoutError if nothing arrives within `timeout` seconds.
        """
        try:
            data = await self.read_chunk(timeout)
            if not data and self.response.cut_off:
                return answer_lost(self.head, self.response.cut_off)
        except TimeoutError:
            # A subclass of OSError, but not a connection failure.
            raise
        except AnswerRejected as error:
            return Failure(Reason.ENDPOINT_ERROR, STEP, detail=str(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return answer_lost(self.head, describe(error))
        return data

    async def read_chunk(self, timeout):
        """Return the next bytes, including those that arrived while the process was suspended."""
        content = self.response.content
        clock = asyncio.get_running_loop().time
        deadline = clock() + timeout
        try:
            async with asyncio.timeout(timeout):
                return await content.readany()
        except TimeoutError:
            late = clock() - deadline >= SUSPENSION_SECONDS
        return await wait_past_suspension(content.readany(), CATCH_UP_SECONDS if late else 0.0)

    @property
    def announced_bytes(self):
        """The length of the body according to the head, 0 if the head does not tell it."""
        return self.response.content_length or 0

    def close(self):
        """Close the connection, which cancels the call at the endpoint."""
        self.response.close()


def answer_lost(head, detail):
    """Return the failure of an answer that was cut off."""
    return Failure(Reason.ENDPOINT_LOST, STEP, detail=f"status {head.status}: {detail}")


class EndpointClient:
    """Sends attempts to endpoints in the wire format of a `Dialect`."""

    def __init__(self, dialect):
        self.dialect = dialect
        self.session = None

    async def start(self):
        """Open the HTTP session; must be called in the running event loop."""
        write_requests_exactly()
        self.session = make_session(
            ExactRequest,
            trace_configs=(progress_reports(),),
            socket_factory=bounded_socket,
            read_bufsize=RECEIVE_BYTES // 2,
            force_close=True,
        )

    async def stop(self):
        """Close all connections."""
        await self.session.close()

    async def send(self, routed, request, on_sent=None):
        """Send one attempt; return an `EndpointAnswer`, or a `Failure`.

        `on_sent()` is called once the head of the request was sent.  If the detail of a failure
        begins with `NOT_CONNECTED`, the call certainly has not run.
        """
        call = routed.call
        peer = request.endpoint.name
        headers = CIMultiDict(
            (to_text(name), to_text(value))
            for name, value in self.dialect.attempt_headers(routed, request)
        )
        headers[EXACT_TARGET] = call.target
        try:
            url = URL(f"http://{request.endpoint.address}{call.target}", encoded=True)
            response = await self.request(
                call.method,
                url,
                headers=headers,
                data=payload_of(call.body),
                allow_redirects=False,
                on_sent=on_sent,
            )
        except aiohttp.ConnectionTimeoutError as error:
            return Failure(
                Reason.ENDPOINT_LOST, STEP, peer, f"{NOT_CONNECTED_IN_TIME}: {describe(error)}"
            )
        except aiohttp.ClientConnectorError as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, f"{NOT_CONNECTED}: {describe(error)}")
        except AnswerRejected as error:
            return Failure(Reason.ENDPOINT_ERROR, STEP, peer, str(error))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, describe(error))
        if any(has_control_character(value) for _name, value in response.raw_headers):
            response.close()
            detail = f"status {response.status}: a header has a control character"
            return Failure(Reason.ENDPOINT_ERROR, STEP, peer, detail)
        head = self.dialect.read_head(call, response.status, response.raw_headers)
        return EndpointAnswer(head, response)

    async def request(self, *arguments, on_sent, **options):
        """Make an HTTP request; connect once more if the timeout of connecting was late itself."""
        limit = ConnectLimit(on_sent)
        try:
            return await self.connect_and_send(limit, *arguments, **options)
        except aiohttp.ConnectionTimeoutError:
            if not limit.was_late:
                raise
        return await self.connect_and_send(ConnectLimit(on_sent), *arguments, **options)

    async def connect_and_send(self, limit, *arguments, **options):
        """Make an HTTP request; raise ConnectionTimeoutError if it is not connected in time."""
        try:
            async with limit:
                return await self.session.request(
                    *arguments, timeout=NO_TIMEOUT, trace_request_ctx=limit, **options
                )
        except TimeoutError as error:
            if limit.connected:
                raise ConnectionBroken("connected as connecting was given up") from error
            raise aiohttp.ConnectionTimeoutError(f"after {CONNECT_SECONDS} s") from error


def never_connected(failure):
    """Return whether a failed attempt certainly did not reach its endpoint."""
    return failure.detail.startswith(NOT_CONNECTED)


def connect_timed_out(failure):
    """Return whether an endpoint did not answer to the opening of a connection in time."""
    return failure.detail.startswith(NOT_CONNECTED_IN_TIME)
