"""HTTP client for endpoints; it opens a new connection for each call.

On a connection of its own, a call cannot receive the answer of another call or of an earlier
attempt, and closing the connection cancels the call at the endpoint.
"""

import asyncio
import enum
import re
import socket

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from persimmonstall.direct.messages import ResponseHead
from persimmonstall.failures import Failure, Reason

from ..bounded_http import AnswerRejected, BoundedConnector, ConnectionBroken, open_session
from ..observe import logs

LOG = logs.get("endpoint_client")
STEP = "send"

CONNECT_SECONDS = 0.15
"""Timeout for opening a connection to an endpoint; nothing is sent before it is open."""

NO_TIMEOUT = aiohttp.ClientTimeout(total=None)

PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
"""TCP keep-alive parameters for detecting a connection that has gone silent."""

USER_TIMEOUT_MILLISECONDS = 1500
"""Time for which sent data may stay unacknowledged."""

SUSPENSION_SECONDS = 0.05
"""Lateness of a timeout from which the process counts as having been suspended or held up."""

CATCH_UP_SECONDS = 0.1
"""Time after a suspension for reading data that arrived during it."""

LAST_PASSES = 10
"""Passes of the event loop after a timeout, in which what has arrived by then is still read:
timers fire before sockets are read, and opening a connection takes several passes."""

MAX_LINE_BYTES = 16384
"""Longest line in the head of an endpoint's answer."""

SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type", "Cookie")
"""Headers that aiohttp would otherwise add to a call."""

NOT_CONNECTED = "not connected"
NOT_CONNECTED_IN_TIME = f"{NOT_CONNECTED} in time"

CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Characters that aiohttp accepts in a header it reads, but refuses to send."""

EXACT_TARGET = ":target"
"""Pseudo-header that passes a request's target to `ExactRequest`; it is never sent."""


class PortState(enum.Enum):
    """What connecting to an endpoint shows: it runs, it has ended, or it cannot be reached."""

    OPEN = "accepts connections"
    CLOSED = "refuses connections"
    SILENT = "does not answer"


@attrs.frozen
class ExactTarget:
    """Replaces the URL while aiohttp writes the request line; keeps the target byte for byte."""

    raw_path_qs: str


class ExactRequest(aiohttp.ClientRequest):
    """A request that sends its target unchanged; a URL would drop an empty query."""

    async def send(self, conn):
        """Write the request with its exact target."""
        url, self.url = self.url, ExactTarget(self.headers.pop(EXACT_TARGET, self.url.raw_path_qs))
        try:
            return await super().send(conn)
        finally:
            self.url = url


def keepalive_socket(address_info):
    """Return a TCP socket that detects a silent peer."""
    family, kind, protocol = address_info[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    return sock


class ConnectLimit:
    """Raises TimeoutError if a request is not connected in time; an asynchronous context manager.

    `was_late` says that the timeout itself came late.  `on_sent()` is called once the head of the
    request was sent.
    """

    def __init__(self, on_sent):
        self.on_sent = on_sent
        self.connected = False
        self.was_late = False
        self.loop = asyncio.get_running_loop()
        self.deadline = self.loop.time() + CONNECT_SECONDS
        self.limit = asyncio.timeout(None)
        self.timer = None

    async def __aenter__(self):
        await self.limit.__aenter__()
        self.timer = self.loop.call_at(self.deadline, self.expire, LAST_PASSES)
        return self

    async def __aexit__(self, *error):
        self.timer.cancel()
        return await self.limit.__aexit__(*error)

    def expire(self, passes):
        """Time out unless the request is connected after some more passes of the event loop."""
        if self.connected:
            return
        now = self.loop.time()
        self.was_late = self.was_late or now - self.deadline >= SUSPENSION_SECONDS
        if passes:
            self.timer = self.loop.call_soon(self.expire, passes - 1)
        else:
            self.limit.reschedule(now)

    def record_connected(self):
        """Record that the connection is open: from now on the request may be sent."""
        self.connected = True

    def record_sent(self):
        """Report that the head of the request was sent."""
        if self.on_sent is not None:
            self.on_sent()


async def report_connected(_session, context, _details):
    """Tell the `ConnectLimit` of a request, if it has one, that it is connected."""
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.record_connected()


async def report_sent(_session, context, _details):
    """Tell the `ConnectLimit` of a request, if it has one, that its head was sent."""
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.record_sent()


def progress_reports():
    """Return the trace configuration that reports the progress of a request."""
    traces = aiohttp.TraceConfig()
    traces.on_connection_create_end.append(report_connected)
    traces.on_request_headers_sent.append(report_sent)
    return traces


def make_session(request_class=aiohttp.ClientRequest, trace_configs=(), **options):
    """Return an HTTP client session with bounded answers; `options` are those of its connector.

    It neither adds headers nor decodes bodies.
    """
    connector = BoundedConnector(
        limit=0, socket_factory=keepalive_socket, happy_eyeballs_delay=None, **options
    )
    return open_session(
        connector,
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
    """An endpoint's answer: its `ResponseHead`, and the body, which is read as it arrives.

    `closed` is a future that completes when the connection closes, None if it was already gone
    when the head was read.
    """

    head: ResponseHead
    response: object
    closed: object

    async def read(self, timeout):
        """Return the next bytes, empty at the end of a complete body, or a `Failure`.

        Raise TimeoutError if nothing arrives within `timeout` seconds.
        """
        try:
            data = await self.read_chunk(timeout)
            if not data and not await self.ended_cleanly():
                return answer_lost(
                    self.head, "connection reset at the end of a body without framing"
                )
        except TimeoutError:
            # A subclass of OSError, but not a connection failure.
            raise
        except AnswerRejected as error:
            return Failure(Reason.ENDPOINT_ERROR, STEP, detail=str(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return answer_lost(self.head, repr(error))
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

    async def ended_cleanly(self):
        """Return whether the body is framed, or its connection was closed without an error."""
        if self.framed:
            return True
        if self.closed is None or not self.closed.done():
            return False
        return self.closed.exception() is None

    @property
    def announced_bytes(self):
        """The length of the body according to the head, 0 if the head does not tell it."""
        return self.response.content_length or 0

    @property
    def framed(self):
        """Whether length, chunks or status mark the end of the body."""
        headers = self.response.headers
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        return chunked or "Content-Length" in headers or self.head.status in (204, 304)

    def close(self):
        """Close the connection, which cancels the call at the endpoint."""
        self.response.close()


def answer_lost(head, detail):
    """Return the failure of an answer that was cut off."""
    return Failure(Reason.ENDPOINT_LOST, STEP, detail=f"status {head.status}: {detail}")


async def wait_past_suspension(awaitable, timeout):
    """Return the result of an awaitable; raise TimeoutError after `timeout` seconds.

    Timers fire before the sockets are read, also after a suspension of the process; what has
    arrived by then is still read.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout
    task = asyncio.ensure_future(awaitable)
    try:
        await asyncio.wait((task,), timeout=timeout)
        late = clock() - deadline >= SUSPENSION_SECONDS
        await run_last_passes(task)
        if late and not task.done():
            await asyncio.wait((task,), timeout=CATCH_UP_SECONDS)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        if task.cancel():
            await asyncio.wait((task,))


async def run_last_passes(task):
    """Let the event loop read what has arrived, until a task is done or some passes are over."""
    for _ in range(LAST_PASSES):
        if task.done():
            return
        await asyncio.sleep(0)


class EndpointClient:
    """Sends attempts to endpoints in the wire format of a `Dialect`."""

    def __init__(self, dialect):
        self.dialect = dialect
        self.session = None

    async def start(self):
        """Open the HTTP session; must be called in the running event loop."""
        self.session = make_session(
            ExactRequest, trace_configs=(progress_reports(),), force_close=True
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
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.dialect.attempt_headers(routed, request)
        )
        headers[EXACT_TARGET] = call.target
        try:
            url = URL(f"http://{request.endpoint.address}{call.target}", encoded=True)
            response = await self.request(
                call.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                on_sent=on_sent,
            )
        except aiohttp.ConnectionTimeoutError as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, f"{NOT_CONNECTED_IN_TIME}: {error!r}")
        except aiohttp.ClientConnectorError as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, f"{NOT_CONNECTED}: {error!r}")
        except AnswerRejected as error:
            return Failure(Reason.ENDPOINT_ERROR, STEP, peer, str(error))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, repr(error))
        if has_control_character(response.raw_headers):
            response.close()
            detail = f"status {response.status}: a header has a control character"
            return Failure(Reason.ENDPOINT_ERROR, STEP, peer, detail)
        connection = response.connection
        protocol = None if connection is None else connection.protocol
        closed = None if protocol is None else protocol.closed
        head = self.dialect.read_head(call, response.status, response.raw_headers)
        return EndpointAnswer(head, response, closed)

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


def has_control_character(headers):
    r"""Return whether the value of a header cannot be sent on.

    >>> has_control_character(((b"A", b"b\x01"),)), has_control_character(((b"A", b"b\t"),))
    (True, False)
    """
    return any(CONTROL_CHARACTER.search(value) for _name, value in headers)


async def probe_port(endpoint):
    """Return the `PortState` of an endpoint's address."""
    host, _, port = endpoint.address.rpartition(":")
    try:
        opening = asyncio.open_connection(host, int(port))
        _, writer = await wait_past_suspension(opening, CONNECT_SECONDS)
    except (OSError, TimeoutError, ValueError) as error:
        LOG.info("endpoint_silent", endpoint=endpoint.name, reason=repr(error))
        refused = isinstance(error, ConnectionRefusedError)
        return PortState.CLOSED if refused else PortState.SILENT
    writer.close()
    return PortState.OPEN


async def accepts_connections(endpoint):
    """Return whether an endpoint's address still accepts connections."""
    return await probe_port(endpoint) is PortState.OPEN


def never_connected(failure):
    """Return whether a failed attempt certainly did not reach its endpoint."""
    return failure.detail.startswith(NOT_CONNECTED)


def connect_timed_out(failure):
    """Return whether an endpoint did not answer to the opening of a connection in time."""
    return failure.detail.startswith(NOT_CONNECTED_IN_TIME)
