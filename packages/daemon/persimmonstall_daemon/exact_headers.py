"""Header values that pass as the octets that came.

HTTP allows octets in a value that are no UTF-8.  aiohttp reads them, but writes text as UTF-8 and
leaves out what has no encoding.  Here such octets are surrogate escapes in the text (PEP 383), as
aiohttp reads them, and are written as they came.
"""

import re

from aiohttp import client_reqrep
from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def has_control_character(octets):
    r"""Return whether a value cannot be sent; aiohttp accepts it in a header that it reads.

    >>> has_control_character(b"b\x01"), has_control_character(b"b\t")
    (True, False)
    """
    return CONTROL_CHARACTER.search(octets) is not None


def to_text(octets):
    r"""Return the octets of a name or value as text.

    >>> to_text("é".encode()), to_text(b"\xe9")
    ('é', '\udce9')
    """
    return octets.decode("utf-8", "surrogateescape")


def to_octets(text):
    r"""Return the octets of a name or value, the reverse of `to_text`.

    >>> to_octets("é"), to_octets("\udce9")
    (b'\xc3\xa9', b'\xe9')
    """
    return text.encode("utf-8", "surrogateescape")


def is_utf8(value):
    r"""Return whether a header's value, as aiohttp has read it, is UTF-8.

    >>> is_utf8("é"), is_utf8("\udce9")
    (True, False)
    """
    return value.isascii() or not any("\ud800" <= character <= "\udfff" for character in value)


def to_latin1(text):
    """Return text that is encoded in Latin-1 as `text` is by `to_octets`."""
    return to_octets(text).decode("latin-1")


class ExactHeaderWriter(StreamWriter):
    """Writes header values with surrogate escapes as the octets that they stand for."""

    async def write_headers(self, status_line, headers):
        """Write the head of a message."""
        pairs = [(to_latin1(name), to_latin1(value)) for name, value in headers.items()]
        await super().write_headers(to_latin1(status_line), CIMultiDict(pairs))
        self._headers_buf = self._headers_buf.decode().encode("latin-1")


def write_requests_exactly():
    """Let the requests of aiohttp's clients be written exactly; it has no option for that."""
    client_reqrep.StreamWriter = ExactHeaderWriter
