"""Bounds on what a peer may send in answer to a request, and whether an answer is whole.

A peer that exceeds a bound in head, framing or body has its connection closed at once, and the
reader of its answer gets an `AnswerRejected`.  An answer that only its connection ends is whole if
the peer had received the whole request by then, and neither side reset the connection.
"""

import fcntl
import functools
import socket
import struct
import termios

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

from .observe import logs

LOG = logs.get("bounded_http")

MAX_HEAD_BYTES = 65_536
"""Most bytes before the body of an answer, interim answers included."""

MAX_FRAMING_FACTOR = 1
"""Most bytes of chunk sizes and trailers beyond `MAX_HEAD_BYTES`, as a multiple of the body."""

READ_BUFFER_BYTES = 65_536
"""Size of the read buffer of a connection; twice as much is read ahead of the reader."""

MAX_ERROR_CHARACTERS = 300
"""Longest text of an error that is logged; some quote the head of an answer."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

END_OF_HEAD = b"\r\n\r\n"
SWITCHING_PROTOCOLS = 101
FINAL_STATUSES = range(200, 600)
BODILESS_STATUSES = (204, 304)
UNSENT_BYTES = struct.Struct("i")


class AnswerRejected(aiohttp.ClientPayloadError):
    """The bytes of a peer exceed a bound, or belong to no request."""


class ConnectionBroken(aiohttp.ClientError):
    """The connection broke after it was open: the request may have been carried out."""


async def send_once(request, handler):
    """Send a request at most once; a client middleware.

    By itself, aiohttp sends requests with GET, HEAD, OPTIONS, TRACE, PUT or DELETE once more if
    their connection breaks, and reports only how the second sending failed.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBroken(describe(error)) from error


class BoundedRequest(aiohttp.ClientRequest):
    """A request that tells its connection whether all of its body was written."""

    async def write_bytes(self, writer, conn, content_length=None):
        """Write the body."""
        protocol = conn.protocol
        protocol.request_written = False
        await super().write_bytes(writer, conn, content_length)
        protocol.request_written = protocol.exception() is None


class BoundedResponse(aiohttp.ClientResponse):
    """An answer that knows whether it is whole, also once its connection is gone."""

    connection_state = None

    async def start(self, connection):
        """Read the head."""
        self.connection_state = connection.protocol
        return await super().start(connection)

    @property
    def framed(self):
        """Whether length, chunks, method or status mark the end of the body."""
        chunked = "chunked" in self.headers.get("Transfer-Encoding", "").lower()
        empty = self.method == "HEAD" or self.status in BODILESS_STATUSES
        return chunked or empty or "Content-Length" in self.headers

    @property
    def cut_off(self):
        """Why an answer whose body has ended is not whole, empty if it is."""
        return "" if self.framed else self.connection_state.cut_off


class BoundedResponseHandler(ResponseHandler):
    """A client connection that rejects answers whose head or framing does not end.

    `received` counts the bytes since the request, `head_end` holds the last bytes of a head so
    far, `body` is the stream reader of the answer's body, None before the head is complete.
    Interim answers (1xx) are dropped.  `request_written` says whether the request was handed to
    the system, `cut_off` how the connection ended if that does not end an answer.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self.received = 0
        self.head_end = b""
        self.body = None
        self.rejected = False
        self.request_written = True
        self.cut_off = ""

    def set_response_params(self, **options):
        """Expect the answer to a request; bytes that came before it belong to no request."""
        unasked = len(self._tail) + len(self)
        self.request_written = True
        self.received = 0
        self.head_end = b""
        self.body = None
        super().set_response_params(**options)
        if unasked and not self.rejected:
            self.reject("bytes before a request")

    def data_received(self, data):
        """Parse bytes of the answer; the end of each head is parsed apart from what follows it.

        An error after the end of a complete answer then does not affect that answer.
        """
        if self.body is not None:
            self.receive(data)
            return
        start = 0
        while self.body is None and start < len(data):
            end = self.find_end_of_head(data, start)
            self.receive(data[start:end])
            start = end
        if start < len(data) or not data:
            self.receive(data[start:])

    def find_end_of_head(self, data, start):
        """Return where the head that `data` continues ends, or how much of it to parse."""
        seen = self.head_end + data[start : start + MAX_HEAD_BYTES]
        end = seen.find(END_OF_HEAD)
        if end < 0:
            self.head_end = seen[1 - len(END_OF_HEAD) :]
            return start + MAX_HEAD_BYTES
        end += len(END_OF_HEAD) - len(self.head_end)
        self.head_end = b""
        return start + end

    def eof_received(self):
        """Find out whether the peer ended before it had received the whole request."""
        if not self.request_written or (self.transport and unreceived_bytes(self.transport)):
            self.cut_off = "the connection ended before the peer had received the whole request"
        return super().eof_received()

    def connection_lost(self, exc):
        """Record that the connection was reset, if it was, before the body ends with it."""
        if exc is not None:
            self.cut_off = f"connection lost: {describe(exc)}"
        super().connection_lost(exc)

    def receive(self, data):
        """Parse bytes, then check the bound on what is not part of the body."""
        if self.rejected:
            return
        if data and self.body is not None and self.body.is_eof():
            self.reject("bytes after a complete answer")
            return
        self.received += len(data)
        super().data_received(data)
        if self._exception is not None and not self.rejected:
            self.fail_body(
                aiohttp.ClientPayloadError(f"malformed body: {describe(self._exception)}")
            )
            return
        if self.rejected or self._reading_paused:
            # While reading is paused, bytes of the body may wait in the parser.
            return
        body_bytes = 0 if self.body is None else self.body.total_bytes
        if self.received - body_bytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * body_bytes:
            self.reject(f"{self.received} bytes received, {body_bytes} of them a body")

    def feed_data(self, answer, size=0):
        """Pass on the head and body of a final answer; drop interim and unexpected answers."""
        message, body = answer
        if 100 <= message.code < 200 and message.code != SWITCHING_PROTOCOLS:
            return
        if self.rejected:
            return
        if self.body is not None or self._parser is None:
            self.reject("another answer than the one expected")
            return
        if not is_final(message.code):
            self.reject(f"status {message.code} is none of an answer")
            return
        self.body = body
        super().feed_data(answer, size)

    def reject(self, detail):
        """Close the connection; an answer that is already complete stays readable."""
        self.rejected = True
        LOG.warning("answer_rejected", reason="endpoint_error", detail=detail, peer=self.peer())
        error = AnswerRejected(detail)
        self.fail_body(error)
        self._payload = self._parser = None
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def close(self):
        """Close the connection; without a complete answer it is reset, and the peer hears at once.

        A mere close would wait until a peer that does not read has taken the rest of the request.
        """
        answered = self.body is not None and self.body.is_eof()
        if not answered:
            self.drop_unread()
        if self.transport is None or answered:
            super().close()
        else:
            reset_on_close(self.transport)
            super().abort()

    def drop_unread(self):
        """Free the bytes of an answer that nobody reads."""
        drop_unread(self.body)

    def fail_body(self, error):
        """Let the reader of an incomplete body fail; the parser alone does not after an error."""
        if self.body is not None and not self.body.is_eof() and self.body.exception() is None:
            set_exception(self.body, error)

    def peer(self):
        """Return the address of the peer, empty once the connection is closed."""
        address = self.transport and self.transport.get_extra_info("peername")
        return ":".join(map(str, address[:2])) if address else ""


def drop_unread(body):
    """Free the bytes that wait in the stream of a body; a garbage collection may be far off.

    Its connection has closed, which has set an error, so that aiohttp's own methods don't free
    them.  `body` may be None, or the stream of a message without one.
    """
    if getattr(body, "_buffer", None):
        body._buffer.clear()
        body._size = 0


def is_final(status):
    """Return whether a status is that of a final answer.

    >>> is_final(200), is_final(599), is_final(0), is_final(101), is_final(600)
    (True, True, False, False, False)
    """
    return status in FINAL_STATUSES


def unreceived_bytes(transport):
    """Return how many bytes that were sent the peer's system has not acknowledged."""
    waiting = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(UNSENT_BYTES.size))
    except OSError as error:
        LOG.debug("unacknowledged_unknown", reason=describe(error))
        return waiting
    return waiting + UNSENT_BYTES.unpack(unsent)[0]


def describe(error):
    """Return the text of an error for a log line.

    >>> describe(ValueError("x" * 400)).count("x")
    288
    """
    return repr(error)[:MAX_ERROR_CHARACTERS]


def reset_on_close(transport):
    """Let the close of a connection reset it, so that bytes in the socket are not sent first."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections whose answers are bounded."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(BoundedResponseHandler, loop=self._loop)


def open_session(
    connector=None, read_bufsize=READ_BUFFER_BYTES, request_class=BoundedRequest, **options
):
    """Return an HTTP client session with bounded answers that sends each request at most once.

    It keeps no cookies.  Each request names `allow_redirects=False`, since aiohttp would
    otherwise repeat it at another address.  `options` are those of aiohttp.
    """
    return aiohttp.ClientSession(
        connector=connector or BoundedConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
        read_bufsize=read_bufsize,
        request_class=request_class,
        response_class=BoundedResponse,
        **options,
    )
