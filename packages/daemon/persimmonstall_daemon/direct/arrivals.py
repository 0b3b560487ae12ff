"""What has arrived on a caller's connection: its size, and what it costs to parse."""

import collections

import attrs

from ..bounded_http import drop_unread
from .parser_limits import HEADER_LIMIT_FACTOR, MAX_HEADER_BYTES

FIELD_BYTES = 512
"""Estimated memory of a header field beyond its characters."""

CHUNK_BYTES = 64
"""Estimated memory of a piece of a body beyond its bytes."""

PARSED_BYTES = 16_384
"""Bytes that are parsed at once, between which the memory is checked."""

CHUNKED_BYTES = 4096
"""The same for bodies in chunks, which are dear to parse if they are small."""

FRAMING_BYTES = 65_536
FRAMING_FACTOR = 16
"""Most bytes of chunk sizes and trailers: a constant, and a multiple of the body."""

PACED_LINES = 512
"""Lines of heads and chunks in one read from which a caller is read at a bounded pace."""

LINE_SECONDS = 2.5e-6
"""Estimated time to parse a line."""


def field_count(message):
    """Return the number of fields in a parsed head; 0 for one that could not be parsed."""
    return len(getattr(message, "raw_headers", ()))


def head_bytes(message):
    """Return the estimated memory of a parsed head; 0 for one that could not be parsed."""
    fields = getattr(message, "raw_headers", ())
    return sum(len(name) + len(value) for name, value in fields) * 2 + len(fields) * FIELD_BYTES


@attrs.define
class HeadInProgress:
    """Bytes and lines of a head that is not complete, and bytes that wait for the parser."""

    size: int = 0
    lines: int = 0
    unparsed: int = 0

    @property
    def memory(self):
        """The estimated memory that they take."""
        return 2 * self.size + self.lines * FIELD_BYTES + self.unparsed


def unread_bytes(body):
    """Return how many bytes wait in the stream of a body to be read; 0 for None."""
    return getattr(body, "_size", 0)


def queued_body_bytes(body):
    """Return the estimated memory of a body that has arrived and that nobody reads yet."""
    pieces = getattr(body, "_buffer", ())
    return getattr(body, "total_bytes", 0) + CHUNK_BYTES * len(pieces)


class Arrivals:
    """What has arrived on a connection with these `limits` and is not served yet.

    `head` is the one in progress; `requests` are those that were parsed, and `queued` the sizes
    of the heads of those that wait.  `body` is the stream that is parsed, of which
    `body_received` bytes came, `served` that of the request that is served, of which `unfilled`
    bytes are reserved and not read.  `unparsed` is data that waits for its turn, `lines` what was
    parsed since the last one.
    """

    def __init__(self, limits):
        self.limits = limits
        self.head = HeadInProgress()
        self.requests = 0
        self.queued = collections.deque()
        self.body = None
        self.body_received = 0
        self.chunked = False
        self.served = None
        self.unfilled = 0
        self.unparsed = b""
        self.lines = 0

    @property
    def parsed_bytes(self):
        """The number of bytes that are parsed at once."""
        return CHUNKED_BYTES if self.chunked else PARSED_BYTES

    @property
    def is_dear(self):
        """Whether what was parsed since the last turn was dear."""
        return self.lines >= PACED_LINES

    def take_work(self):
        """Return the estimated seconds of parsing since the last turn."""
        lines, self.lines = self.lines, 0
        return lines * LINE_SECONDS

    def begin_serving(self, body):
        """Record that a request is served, whose body comes in the stream `body`."""
        self.served = body
        self.unfilled = 0

    def count(self, piece, requests, messages, parser_waits):
        """Count the bytes of a head or body that arrived.

        `requests` were parsed so far, of which `messages` wait; while `parser_waits`, the bytes
        are kept for later.
        """
        new, self.requests = requests - self.requests, requests
        if new:
            self.begin_body(list(messages)[-new:])
        elif parser_waits:
            self.head.unparsed += len(piece)
        elif self.body is not None and not self.body.is_eof():
            self.body_received += len(piece)
            if self.chunked:
                self.lines += piece.count(b"\n")
        else:
            self.head.size += len(piece)
            self.head.lines += piece.count(b"\n")

    def begin_body(self, messages):
        """Record requests whose heads are complete; the body of the last one follows."""
        self.head = HeadInProgress()
        last, self.body = messages[-1]
        self.chunked = getattr(last, "chunked", False)
        self.body_received = 0
        self.queued.extend(head_bytes(message) for message, _ in messages)
        self.lines += sum(field_count(message) for message, _ in messages)

    def waiting_bytes(self, messages):
        """Return the estimated memory of what waits, of which `messages` are complete heads."""
        unread = max(0, unread_bytes(self.served) - self.unfilled)
        return self.head.memory + len(self.unparsed) + unread + self.queued_bytes(messages)

    def queued_bytes(self, messages):
        """Return the estimated memory of the requests that have not begun to be served."""
        while len(self.queued) > len(messages):
            self.queued.popleft()
        return sum(self.queued) + sum(queued_body_bytes(body) for _, body in messages)

    def is_endless(self, reading_paused):
        """Return whether a head or the framing of a body exceeds every limit."""
        allowed = self.limits.header_bytes or MAX_HEADER_BYTES
        if self.head.size > allowed * HEADER_LIMIT_FACTOR + PARSED_BYTES:
            return True
        if self.body is None or reading_paused:
            return False
        return self.body_received > FRAMING_BYTES + FRAMING_FACTOR * self.body.total_bytes

    def drop(self, messages):
        """Free all that nobody has read; the connection has closed."""
        for body in (self.served, self.body, *(body for _, body in messages)):
            drop_unread(body)
        self.body = self.served = None
        self.unparsed = b""
