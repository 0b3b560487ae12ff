"""The HTTP server for callers, and the sink through which one call is answered."""

import asyncio
import contextlib

import attrs
from aiohttp import http, web

from persimmonstall.direct.messages import Caps
from persimmonstall.failures import Failure, Outcome, Reason, refuse

STEP = "read"

HEAD_ROOM = 4
"""How many times the allowed header size is read, so that an excess is answered properly."""

IDLE_MARGIN = 2.0
"""Seconds added to the idle timeout, so that a call that crosses the close is rare."""

UNREAD_CHECK_SECONDS = 0.5
"""Time between looks for connections whose first head is not whole."""


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


class CallerServer:
    """Accepts callers' connections and hands their calls to `serve(call, sink)`.

    Limits follow the configuration in force: a connection keeps those of its beginning.
    """

    def __init__(self, entry):
        self.entry = entry
        self.caps = None
        self.handlers = None
        self.retired = []
        self.sockets = None
        self.in_flight = 0

    async def start(self, address):
        """Listen at `address`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.sockets = await loop.create_server(
            self.accept, host, int(port), backlog=1024, reuse_address=True
        )

    def accept(self):
        """Return the protocol of a new connection, with the limits in force."""
        configuration = self.entry.state.configuration
        caps = configuration.caps if configuration else Caps()
        if caps != self.caps:
            self.renew(caps)
        return self.handlers()

    def renew(self, caps):
        """Make the server of connections that begin from now on."""
        if self.handlers is not None:
            self.retired.append(self.handlers)
        self.caps = caps
        self.handlers = web.Server(
            self.handle,
            request_factory=self.make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=caps.idle_timeout + IDLE_MARGIN,
            max_line_size=caps.header_bytes * HEAD_ROOM,
            max_field_size=caps.header_bytes * HEAD_ROOM,
            auto_decompress=False,
        )

    def make_request(self, message, payload, protocol, writer, task):
        """Return a request whose body may have the size that the configuration allows."""
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
        await self.entry.exchange.serve(call, sink)

    async def read_body(self, request):
        """Return the body, or the `Failure` of one that is too large or breaks off."""
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > self.caps.header_bytes > 0:
            return Failure(Reason.HEADERS_TOO_LARGE, STEP, detail=f"{size} bytes")
        try:
            return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            return Failure(Reason.BODY_TOO_LARGE, STEP, detail=str(error))
        except (http.HttpProcessingError, ValueError) as error:
            return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))

    def servers(self):
        """Return the servers of all open connections."""
        return [*self.retired, self.handlers] if self.handlers else []

    async def stop_accepting(self):
        """Close the listening socket; open connections stay."""
        if self.sockets is not None:
            self.sockets.close()

    async def close_idle(self):
        """Close the connections on which no request is being served."""
        for server in self.servers():
            for handler in list(server.connections):
                handler.close()

    async def stop(self):
        """Close everything."""
        await self.stop_accepting()
        for server in self.servers():
            with contextlib.suppress(asyncio.TimeoutError):
                await server.shutdown(0.1)


__all__ = ["CallerServer", "CallerSink", "Outcome", "RequestHead"]
