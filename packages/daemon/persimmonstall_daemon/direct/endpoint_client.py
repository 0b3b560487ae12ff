"""Calls of endpoints over HTTP, one connection for each.

A connection that carries one call can deliver neither the answer of another call nor one to an
older attempt, and closing it cancels what runs there.
"""

import asyncio
import socket

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from persimmonstall.direct.messages import ResponseHead
from persimmonstall.failures import Failure, Reason

from ..observe import logs

LOG = logs.get("endpoint_client")
STEP = "send"

CONNECT_SECONDS = 0.15
"""Time to open a connection to an endpoint; nothing has been sent before it is open."""

PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
"""Keep-alive probes by which the system finds a connection that has gone silent."""

UNSENT_MILLISECONDS = 1500
"""Time for which sent bytes may stay unacknowledged."""

STILL_SECONDS = 0.3
"""Time by which a timeout is late from which the process counts as having stood still."""

CATCH_UP_SECONDS = 0.1
"""Time after that in which what has come meanwhile is read."""

LINE_BYTES = 16384
"""Longest line of an endpoint's answer head."""

NO_CALL_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type", "Cookie")
"""Headers that the HTTP library would add by itself."""

NOT_CONNECTED = "not connected"

EXACT_TARGET = ":target"
"""Pseudo header by which a request's target reaches `ExactRequest`; it is never sent."""


@attrs.frozen
class ExactTarget:
    """Stands for a URL where the HTTP library writes its path; keeps the bytes as they came."""

    raw_path_qs: str


class ExactRequest(aiohttp.ClientRequest):
    """A request whose target is written as it came, where a URL would lose an empty query."""

    async def send(self, conn):
        """Write the request."""
        url, self.url = self.url, ExactTarget(self.headers.pop(EXACT_TARGET, self.url.raw_path_qs))
        try:
            return await super().send(conn)
        finally:
            self.url = url


def watched_socket(address_info):
    """Return a TCP socket on which a silent peer is noticed."""
    family, kind, protocol = address_info[:3]
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_MILLISECONDS)
    return made


def make_session(request_class=aiohttp.ClientRequest, **options):
    """Return an HTTP client session that adds nothing of its own to what passes through it."""
    connector = aiohttp.TCPConnector(
        limit=0, socket_factory=watched_socket, happy_eyeballs_delay=None, **options
    )
    return aiohttp.ClientSession(
        connector=connector,
        request_class=request_class,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=NO_CALL_HEADERS,
        max_line_size=LINE_BYTES,
        max_field_size=LINE_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
    )


@attrs.define
class EndpointAnswer:
    """An endpoint's answer that has begun: its `ResponseHead`, and the body as it arrives.

    `closed` is the future of the connection's end, None when it had ended before the head was
    looked at.
    """

    head: ResponseHead
    response: object
    closed: object

    async def read(self, patience):
        """Return the next bytes, empty at the end of a whole body, or a `Failure`.

        Raises TimeoutError when nothing has come within `patience` seconds.
        """
        try:
            data = await self.wait(patience)
            if not data and not await self.ended_cleanly():
                return lost(self.head, "reset at the end of an unframed body")
        except TimeoutError:
            # A subclass of OSError, but no failure of the connection.
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return lost(self.head, repr(error))
        return data

    async def wait(self, patience):
        """Return the next bytes, also those that came while this process stood still."""
        content = self.response.content
        clock = asyncio.get_running_loop().time
        due = clock() + patience
        try:
            async with asyncio.timeout(patience):
                return await content.readany()
        except TimeoutError:
            if clock() - due < STILL_SECONDS:
                raise
        async with asyncio.timeout(CATCH_UP_SECONDS):
            return await content.readany()

    async def ended_cleanly(self):
        """Say whether an unframed body ended with a proper close of the connection."""
        if self.framed:
            return True
        if self.closed is None or not self.closed.done():
            return False
        return self.closed.exception() is None

    @property
    def framed(self):
        """Whether the body's length or its chunks say where it ends."""
        headers = self.response.headers
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        return chunked or "Content-Length" in headers or self.head.status in (204, 304)

    def close(self):
        """Close the connection, which cancels what still runs at the endpoint."""
        self.response.close()


def lost(head, detail):
    """Return the failure of an answer that broke off."""
    return Failure(Reason.ENDPOINT_LOST, STEP, detail=f"status {head.status}: {detail}")


class EndpointClient:
    """Sends attempts to endpoints in the words of a `Dialect`."""

    def __init__(self, dialect):
        self.dialect = dialect
        self.session = None

    async def start(self):
        """Open the client; called on the running event loop."""
        self.session = make_session(ExactRequest, force_close=True)

    async def stop(self):
        """Close all connections."""
        await self.session.close()

    async def send(self, routed, request):
        """Send one attempt; return `EndpointAnswer`, or a `Failure`.

        A failure whose detail begins with `NOT_CONNECTED` is certain not to have run.
        """
        call = routed.call
        peer = request.endpoint.name
        headers = CIMultiDict(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.dialect.attempt_headers(routed, request)
        )
        headers[EXACT_TARGET] = call.target
        url = URL(f"http://{request.endpoint.address}{call.target}", encoded=True)
        try:
            response = await self.session.request(
                call.method, url, headers=headers, data=call.body or None, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, f"{NOT_CONNECTED}: {error!r}")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(Reason.ENDPOINT_LOST, STEP, peer, repr(error))
        connection = response.connection
        protocol = None if connection is None else connection.protocol
        closed = None if protocol is None else protocol.closed
        head = self.dialect.read_head(call, response.status, response.raw_headers)
        return EndpointAnswer(head, response, closed)


async def accepts_connections(endpoint):
    """Say whether an endpoint's address still accepts connections."""
    host, _, port = endpoint.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError) as error:
        LOG.info("endpoint_silent", endpoint=endpoint.name, reason=repr(error))
        return False
    writer.close()
    return True


def certain_not_run(failure):
    """Say whether a failed attempt certainly did not reach its endpoint."""
    return failure.detail.startswith(NOT_CONNECTED)
