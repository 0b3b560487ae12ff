"""Limits with which the heads of callers' requests are parsed."""

from ..bounded_http import READ_BUFFER_BYTES

HEADER_LIMIT_FACTOR = 4
"""Multiple of the allowed header size that is parsed, so that headers above the limit are refused
by the entry and not by the parser."""

MIN_FIELD_BYTES = 4
"""Size of the shortest header field: a name, a colon and the end of its line."""

MAX_HEADER_BYTES = 65_536
"""Largest head if the configuration has no limit."""


def parser_options(limits):
    """Return the options of aiohttp with which heads of the allowed size are parsed."""
    allowed = limits.header_bytes or MAX_HEADER_BYTES
    return {
        "max_line_size": allowed * HEADER_LIMIT_FACTOR,
        "max_field_size": allowed * HEADER_LIMIT_FACTOR,
        "max_headers": allowed // MIN_FIELD_BYTES,
        "read_bufsize": READ_BUFFER_BYTES,
    }
