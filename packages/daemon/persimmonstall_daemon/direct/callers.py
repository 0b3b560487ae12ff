"""HTTP server for callers, and the sink to which the answer of one call is written."""

import asyncio
import socket

import attrs
from aiohttp import http, web

from persimmonstall.direct.messages import CallerLimits
from persimmonstall.failures import Failure, Outcome, Reason, refuse

from ..exact_headers import ExactHeaderWriter, to_octets, to_text
from ..observe import logs
from .acceptor import BACKLOG, Acceptor

LOG = logs.get("callers")
STEP = "read"

HEADER_LIMIT_FACTOR = 4
"""Multiple of the allowed header size that is parsed, so that headers above the limit are refused
by the entry and not by the parser."""

MAX_BODY_BYTES = 1 << 24
"""Largest body of a request if the configuration has no limit."""

LINGER_SECONDS = 1.0
"""Time for which the unread rest of a request body is still read and discarded."""

SHUTDOWN_SECONDS = 0.1
IDLE_MARGIN_SECONDS = 2.0
"""Added to the idle timeout, so that a call rarely arrives while its connection closes."""

LAST_READ_SECONDS = 0.1
"""Time after a timeout in which a request that has arrived may still be read."""


@attrs.frozen
class RequestHead:
    """A caller's request line and headers, as received."""

    method: str
    target: str
    headers: tuple


class CallerSink:
    """Writes the answer of one call to the caller's connection, in pieces or at once.

    `closing()` returns whether the connection is to be closed after the answer.
    """

    def __init__(self, request, closing):
        self.request = request
        self.closing = closing
        self.response = None

    @property
    def started(self):
        """Whether any part of an answer has been sent."""
        return self.response is not None

    @property
    def caller_left(self):
        """Whether the caller's connection is closed, or closing because it failed."""
        transport = self.request.transport
        return transport is None or transport.is_closing()

    def seconds_since_close(self):
        """Return how long ago the caller's connection closed, 0 while it is open."""
        lost_at = self.request.protocol.lost_at
        return 0.0 if lost_at is None else asyncio.get_running_loop().time() - lost_at

    async def start(self, status, headers):
        """Send the head of an answer whose body is streamed."""
        response = web.StreamResponse(status=status)
        set_headers(response, headers)
        await self.send_head(response)

    async def write(self, data):
        """Send a piece of the body."""
        await self.response.write(data)

    async def finish(self):
        """End the body of a streamed answer."""
        await self.response.write_eof()

    async def reply(self, reply):
        """Send a complete `Reply`."""
        response = web.Response(status=reply.status, body=reply.body)
        set_headers(response, [(to_octets(n), to_octets(v)) for n, v in reply.headers])
        if reply.close:
            response.force_close()
        await self.send_head(response)
        await response.write_eof()

    async def send_head(self, response):
        """Send the head of a response, which from here on is the answer of the call."""
        if self.closing():
            response.force_close()
        self.response = response
        await response.prepare(self.request)

    def abort(self):
        """Abort the connection, so that the caller does not take the answer for complete."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()


def set_headers(response, headers):
    """Set the headers of a response; aiohttp itself adds only those for framing."""
    response.headers.clear()
    for name, value in headers:
        response.headers.add(to_text(name), to_text(value))


def listen(address):
    """Return a socket that listens at `address`; connections queue until they are accepted."""
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)


class Connection(web.RequestHandler):
    """A caller's connection; it is closed if the head of a request is not complete in time.

    `limits` are those that applied when the connection was opened; `lost_at` is the time of the
    event loop at which it closed, None while it is open.  `reading` says that bytes of a request
    have arrived that has not been answered.
    """

    def __init__(self, server, limits, **options):
        super().__init__(server, **options)
        self.limits = limits
        self.timer = None
        self.in_request = False
        self.reading = False
        self.lost_at = None

    def connection_made(self, transport):
        """Start the idle timeout of the first request, the same as for later ones."""
        super().connection_made(transport)
        self.start_timeout(self.limits.idle_timeout + IDLE_MARGIN_SECONDS)

    def data_received(self, data):
        """Pass data to the parser; the first bytes of a request start its header timeout."""
        self.reading = True
        if not self.in_request:
            self.start_timeout(self.limits.header_timeout)
        super().data_received(data)

    def start_timeout(self, seconds):
        """Close the connection unless a head is complete within `seconds`.

        A timeout that is due earlier stays as it is.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self.timer is not None:
            if self.timer.when() <= due:
                return
            self.timer.cancel()
        self.timer = loop.call_at(due, self.on_timeout)

    def on_timeout(self):
        """Read what has arrived, since the event loop may be late, before closing."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LAST_READ_SECONDS, loop.call_soon, self.close_unless_served)

    def close_unless_served(self):
        """Close the connection, unless a request that was read has begun to be served.

        Tasks that were made ready before this callback have run.
        """
        if self.in_request:
            return
        if self.reading:
            LOG.info("request_incomplete", step=STEP, reason="head incomplete at the timeout")
        self.force_close()

    def request_started(self):
        """Stop the header timeout: the head is complete."""
        self.in_request = True
        self.cancel_timeout()

    def request_ended(self):
        """Expect the head of another request: this one has been answered."""
        self.in_request = False
        self.reading = False

    def cancel_timeout(self):
        """Cancel the timeout of a head."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc):
        """Cancel the timeout of a connection that has closed, and the call in progress."""
        self.lost_at = asyncio.get_running_loop().time()
        self.cancel_timeout()
        super().connection_lost(exc)


class CallerServer:
    """Accepts callers' connections and passes their calls to the entry's `CallHandler`.

    The limits come from the current configuration; an open connection keeps the parser limits
    and timeouts that it started with.
    """

    def __init__(self, entry):
        self.entry = entry
        self.server = None
        self.acceptor = None
        self.in_flight = 0

    @property
    def limits(self):
        """The limits of the current configuration."""
        configuration = self.entry.state.configuration
        return configuration.caps if configuration else CallerLimits()

    async def start(self, listener):
        """Accept connections from a listening socket."""
        self.server = web.Server(
            self.handle, request_factory=self.make_request, handler_cancellation=True
        )
        self.acceptor = Acceptor(listener, self.make_connection)
        self.acceptor.start()

    def make_connection(self):
        """Return the protocol of a new connection, with the current limits."""
        limits = self.limits
        return Connection(
            self.server,
            limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=limits.idle_timeout + IDLE_MARGIN_SECONDS,
            max_line_size=limits.header_bytes * HEADER_LIMIT_FACTOR,
            max_field_size=limits.header_bytes * HEADER_LIMIT_FACTOR,
            auto_decompress=False,
            lingering_time=LINGER_SECONDS,
        )

    def make_request(self, message, payload, protocol, _writer, task):
        """Return a request whose body may be as large as the configuration allows.

        The headers of its answer are written exactly.
        """
        protocol.request_started()
        max_size = self.limits.body_bytes or MAX_BODY_BYTES
        loop = asyncio.get_running_loop()
        writer = ExactHeaderWriter(protocol, loop)
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=max_size
        )

    async def handle(self, request):
        """Serve one request."""
        sink = CallerSink(request, lambda: self.entry.leaving)
        self.in_flight += 1
        try:
            await self.serve(request, sink)
        except Exception as error:
            await self.end_failed_call(sink, error)
        finally:
            self.in_flight -= 1
            request.protocol.request_ended()
        return sink.response or web.Response(status=500)

    async def end_failed_call(self, sink, error):
        """End a call that met an error: its caller left, or it is a bug."""
        if isinstance(error, ConnectionError) and sink.caller_left:
            self.entry.log.info("caller_gone", step="relay", reason=repr(error))
            sink.abort()
            return
        self.entry.metrics.count("bugs")
        self.entry.log.error("bug", error=repr(error), exc_info=error)
        await self.reply_internal_error(sink)

    async def reply_internal_error(self, sink):
        """Answer a call that met an unexpected error; whether it has run is unknown."""
        if sink.started:
            sink.abort()
            return
        refusal = refuse(Failure(Reason.INTERNAL, STEP), outcome=Outcome.UNKNOWN)
        await sink.reply(self.entry.dialect.refusal_reply(refusal))

    async def serve(self, request, sink):
        """Read a complete request and serve its call."""
        head = RequestHead(request.method, request.message.path, request.raw_headers)
        arrived = self.entry.now()
        body = await self.read_body(request)
        if isinstance(body, Failure):
            await sink.reply(self.entry.dialect.refusal_reply(refuse(body)))
            return
        call = self.entry.dialect.read_call(head, body, arrived)
        if isinstance(call, Failure):
            self.entry.log.warning("call_unreadable", reason=call.reason, detail=call.detail)
            await sink.reply(self.entry.dialect.refusal_reply(refuse(call)))
            return
        await self.entry.call_handler.serve(call, sink)

    async def read_body(self, request):
        """Return the body, or a `Failure` if it is too large, too slow or malformed."""
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > self.limits.header_bytes > 0:
            return Failure(Reason.HEADERS_TOO_LARGE, STEP, detail=f"{size} bytes")
        deadline = self.entry.now() + self.limits.idle_timeout
        try:
            async with self.entry.time_limits.until(deadline):
                return await request.read()
        except TimeoutError:
            reason = Reason.LEAVING if deadline > self.entry.exits_at else Reason.BODY_TOO_SLOW
            return Failure(reason, STEP, detail="body incomplete at the timeout")
        except web.HTTPRequestEntityTooLarge as error:
            return Failure(Reason.BODY_TOO_LARGE, STEP, detail=str(error))
        except (http.HttpProcessingError, ValueError) as error:
            return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))

    async def stop_accepting(self):
        """Close the listening socket; open connections stay open."""
        if self.acceptor is not None:
            await self.acceptor.close()

    async def close_idle(self):
        """Close the connections on which no request has begun to arrive.

        The others close after their answers.  `RequestHandler.close` is of no use here: it leaves
        idle connections open, but reads them no more.
        """
        for connection in list(self.server.connections):
            if not connection.reading:
                connection.force_close()

    async def stop(self):
        """Close the listening socket and all connections."""
        await self.stop_accepting()
        await self.server.shutdown(SHUTDOWN_SECONDS)
