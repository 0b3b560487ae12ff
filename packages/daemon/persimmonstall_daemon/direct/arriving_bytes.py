"""Estimates of the memory that requests take before they are served."""

import attrs

FIELD_BYTES = 512
"""Estimated memory of a header field beyond its characters."""

CHUNK_BYTES = 64
"""Estimated memory of a piece of a body beyond its bytes."""


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


def waiting_bytes(payload):
    """Return the estimated memory of a body that has arrived and that nobody reads yet."""
    pieces = getattr(payload, "_buffer", ())
    return getattr(payload, "total_bytes", 0) + CHUNK_BYTES * len(pieces)
