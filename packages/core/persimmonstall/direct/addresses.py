"""Addresses of endpoints and entries, as others name them."""

import functools
import ipaddress

MAX_PORT = 65_535
MAX_REMEMBERED = 4096
"""Number of texts of which it is remembered whether they are addresses."""


def is_address(text):
    """Return whether a value is an IPv4 address with a port, to which data can be sent.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:0"), is_address("a:80"), is_address(None)
    (True, False, False, False)
    """
    return isinstance(text, str) and names_address(text)


@functools.lru_cache(MAX_REMEMBERED)
def names_address(text):
    """Return whether a text is an IPv4 address with a port."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
