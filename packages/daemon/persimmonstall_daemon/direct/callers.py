"""The HTTP server for callers, and the sink through which one call is answered."""

import asyncio
import socket

import attrs
from aiohttp import http, web

from persimmonstall.direct.messages import CallerLimits
from persimmonstall.failures import Failure, Outcome, Reason, refuse

STEP = "read"

HEAD_ROOM = 4
"""How many times the allowed header size is read, so that an excess is answered properly."""

LINGER_SECONDS = 1.0
"""Time for which the rest of a body is read that is not wanted any more."""

SHUTDOWN_SECONDS = 0.1
IDLE_MARGIN = 2.0
"""Seconds added to the idle timeout, so that a call that crosses the close is rare."""

BACKLOG = 1024
"""Connections that may wait to be accepted."""


@attrs.frozen
class RequestHead:
    """A caller's request line and headers as they were sent."""

    method: str
    target: str
    headers: tuple


class CallerSink:
    """The caller's connection of one call: an answer in pieces, or whole."""

    def __init__(self, request, closing):
        self.request = request
        self.closing = closing
        self.response = None

    @property
    def started(self):
        """Whether a part of an answer has been sent."""
        return self.response is not None

    async def start(self, status, headers):
        """Send the head of an answer whose body follows in pieces."""
        self.response = web.StreamResponse(status=status)
        fill(self.response, headers)
        if self.closing():
            self.response.force_close()
        await self.response.prepare(self.request)

    async def write(self, data):
        """Send a piece of the body."""
        await self.response.write(data)

    async def finish(self):
        """End the body properly."""
        await self.response.write_eof()

    async def reply(self, reply):
        """Send a whole `Reply`."""
        self.response = web.Response(status=reply.status, body=reply.body)
        fill(self.response, [(n.encode(), v.encode()) for n, v in reply.headers])
        if reply.close or self.closing():
            self.response.force_close()
        await self.response.prepare(self.request)
        await self.response.write_eof()

    def abort(self):
        """Close the connection so that the answer cannot look complete."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()


def fill(response, headers):
    """Give a response these header pairs, and none of the library's own but for framing."""
    response.headers.clear()
    for name, value in headers:
        response.headers.add(name.decode("latin-1"), value.decode("latin-1"))


def listen(address):
    """Return a socket that listens at `address`; connections wait until they are accepted."""
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)


class Connection(web.RequestHandler):
    """One caller's connection; it is closed when a head that has begun is not whole in time.

    `caps` are the limits in force when it began.
    """

    def __init__(self, server, caps, **options):
        super().__init__(server, **options)
        self.caps = caps
        self.overdue = None
        self.in_request = False

    def connection_made(self, transport):
        """Wait for the first head, as long as for any later one."""
        super().connection_made(transport)
        self.expect(self.caps.idle_timeout + IDLE_MARGIN)

    def data_received(self, data):
        """Take bytes in; those that begin a head start its time."""
        if not self.in_request:
            self.expect(self.caps.header_timeout)
        super().data_received(data)

    def expect(self, seconds):
        """Close the connection unless a head is whole within `seconds`, or an earlier limit."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self.overdue is not None:
            if self.overdue.when() <= due:
                return
            self.overdue.cancel()
        self.overdue = loop.call_at(due, self.force_close)

    def request_begun(self):
        """Note that a head is whole."""
        self.in_request = True
        self.stop_waiting()

    def request_ended(self):
        """Note that a request has its answer."""
        self.in_request = False

    def stop_waiting(self):
        """Cancel the time of a head."""
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None

    def connection_lost(self, exc):
        """Stop waiting."""
        self.stop_waiting()
        super().connection_lost(exc)


class CallerServer:
    """Accepts callers' connections and hands their calls to the entry's exchange.

    Limits follow the configuration in force: a connection keeps those of its beginning.
    """

    def __init__(self, entry):
        self.entry = entry
        self.server = None
        self.sockets = None
        self.in_flight = 0

    @property
    def caps(self):
        """The limits in force."""
        configuration = self.entry.state.configuration
        return configuration.caps if configuration else CallerLimits()

    async def start(self, listener):
        """Accept connections from a listening socket."""
        loop = asyncio.get_running_loop()
        self.server = web.Server(
            self.handle, request_factory=self.make_request, handler_cancellation=True
        )
        self.sockets = await loop.create_server(self.accept, sock=listener, backlog=BACKLOG)

    def accept(self):
        """Return the protocol of a new connection, with the limits in force."""
        caps = self.caps
        return Connection(
            self.server,
            caps,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=caps.idle_timeout + IDLE_MARGIN,
            max_line_size=caps.header_bytes * HEAD_ROOM,
            max_field_size=caps.header_bytes * HEAD_ROOM,
            auto_decompress=False,
            lingering_time=LINGER_SECONDS,
        )

    def make_request(self, message, payload, protocol, writer, task):
        """Return a request whose body may have the size that the configuration allows."""
        protocol.request_begun()
        most = self.caps.body_bytes or 2**40
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=most
        )

    async def handle(self, request):
        """Serve one request."""
        sink = CallerSink(request, lambda: self.entry.leaving)
        self.in_flight += 1
        try:
            await self.serve(request, sink)
        except ConnectionError as error:
            self.entry.log.info("caller_gone", step="relay", reason=repr(error))
            sink.abort()
        except Exception as error:
            self.entry.metrics.count("bugs")
            self.entry.log.exception("bug", error=repr(error))
            await self.fail(sink)
        finally:
            self.in_flight -= 1
            request.protocol.request_ended()
        return sink.response or web.Response(status=500)

    async def fail(self, sink):
        """End a call that met a bug; whether it has run is not known."""
        if sink.started:
            sink.abort()
            return
        refusal = refuse(Failure(Reason.INTERNAL, STEP), outcome=Outcome.UNKNOWN)
        await sink.reply(self.entry.dialect.refusal_reply(refusal))

    async def serve(self, request, sink):
        """Read a request whole and have it served."""
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
        """Return the body, or the `Failure` of one that is too large or breaks off."""
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > self.caps.header_bytes > 0:
            return Failure(Reason.HEADERS_TOO_LARGE, STEP, detail=f"{size} bytes")
        try:
            async with asyncio.timeout(self.caps.idle_timeout):
                return await request.read()
        except TimeoutError:
            return Failure(Reason.BODY_TOO_SLOW, STEP, detail="body")
        except web.HTTPRequestEntityTooLarge as error:
            return Failure(Reason.BODY_TOO_LARGE, STEP, detail=str(error))
        except (http.HttpProcessingError, ValueError) as error:
            return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))

    async def stop_accepting(self):
        """Close the listening socket; open connections stay."""
        if self.sockets is not None:
            self.sockets.close()

    async def close_idle(self):
        """Close the connections on which no request is being served."""
        for connection in list(self.server.connections):
            connection.close()

    async def stop(self):
        """Close everything."""
        await self.stop_accepting()
        await self.server.shutdown(SHUTDOWN_SECONDS)
