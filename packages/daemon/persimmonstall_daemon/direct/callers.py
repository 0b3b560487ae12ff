"""HTTP server for callers, and the sink to which the answer of one call is written."""

import asyncio
import socket

import attrs
from aiohttp import web

from persimmonstall.direct.byte_budget import Phase
from persimmonstall.direct.messages import CallerLimits
from persimmonstall.failures import Failure, Outcome, Postponed, Reason, refuse

from ..exact_headers import ExactHeaderWriter, to_octets, to_text
from ..observe import logs
from .acceptor import BACKLOG, Acceptor
from .body_reader import BodyReader, no_room
from .connection import IDLE_MARGIN_SECONDS, Connection
from .held_body import PIECE_BYTES, HeldBody

LOG = logs.get("callers")
STEP = "read"

LINGER_SECONDS = 1.0
"""Time for which the unread rest of a request body is still read and discarded."""

SHUTDOWN_SECONDS = 0.1


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
    def connection(self):
        """The `Connection` on which the call arrived."""
        return self.request.protocol

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
        self.connection.enter(Phase.ANSWERING)
        await self.response.write(data)
        self.connection.enter(Phase.RUNNING)

    async def finish(self):
        """End the body of a streamed answer."""
        self.connection.enter(Phase.ANSWERING)
        await self.response.write_eof()

    async def reply(self, reply):
        """Send a complete `Reply`."""
        body = reply.body
        if len(body) > PIECE_BYTES:
            body = HeldBody(body, self.connection.sent)
        response = web.Response(status=reply.status, body=body)
        set_headers(response, [(to_octets(n), to_octets(v)) for n, v in reply.headers])
        if reply.close:
            response.force_close()
        self.connection.enter(Phase.ANSWERING)
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
            self.entry.memory,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=limits.idle_timeout + IDLE_MARGIN_SECONDS,
            auto_decompress=False,
            lingering_time=LINGER_SECONDS,
        )

    def make_request(self, message, payload, protocol, _writer, task):
        """Return a request whose head is complete; the headers of its answer are exact."""
        protocol.request_started(payload)
        loop = asyncio.get_running_loop()
        writer = ExactHeaderWriter(protocol, loop)
        return web.BaseRequest(message, payload, protocol, writer, task, loop)

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
        call = self.entry.dialect.read_call(head, b"", self.entry.now())
        body = await self.read_body(request, call)
        if isinstance(body, Failure):
            await self.refuse(sink, body)
            return
        if isinstance(call, Failure):
            self.entry.log.warning("call_unreadable", reason=call.reason, detail=call.detail)
            await self.refuse(sink, call)
            return
        sink.connection.enter(Phase.RUNNING)
        await self.entry.call_handler.serve(attrs.evolve(call, body=body), sink)

    async def refuse(self, sink, failure):
        """Send the caller a refusal: its call has not run."""
        refusal = refuse(failure, getattr(failure, "delay", None))
        reply = self.entry.dialect.refusal_reply(refusal)
        if isinstance(failure, Postponed):
            self.entry.metrics.count("direct_refusals", tag=str(refusal.reason))
            logs.log_failure(LOG, "refused", refusal, status=reply.status)
            reply = attrs.evolve(reply, close=True)
        await sink.reply(reply)

    async def read_body(self, request, call):
        """Return the body, or a `Failure` if it is too large, too slow or malformed.

        That of a call that will be refused for its head is a `DroppedBody`.
        """
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > self.limits.header_bytes > 0:
            return Failure(Reason.HEADERS_TOO_LARGE, STEP, detail=f"{size} bytes")
        connection = request.protocol
        if not await connection.accept(request.message, self.deadline_of(call)):
            return no_room(self.entry, "a call")
        reader = BodyReader(self.entry, request, self.limits)
        return await reader.read(keep=self.may_be_served(call, connection))

    def deadline_of(self, call):
        """Return the time by which a call has to be answered, now for one that is unreadable."""
        if isinstance(call, Failure):
            return self.entry.now()
        found = self.find_route(call)
        if found is None:
            return call.deadline
        route, _service, _organisation = found
        return min(call.deadline, call.arrived + route.timeout)

    def find_route(self, call):
        """Return route, service and organisation of a call, None if it is not admitted now."""
        found = self.entry.state.routes.find(call) if self.entry.state.ready else None
        return None if isinstance(found, Failure) else found

    def may_be_served(self, call, connection):
        """Return whether a call may be served, as far as its head tells.

        Its connection then shares the memory of its organisation's callers at that address.
        """
        if isinstance(call, Failure):
            return False
        found = self.find_route(call)
        if found is None:
            return self.entry.calls_wait or not self.entry.state.ready
        _route, _service, organisation = found
        connection.join_group(organisation.name if organisation else "")
        return True

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
