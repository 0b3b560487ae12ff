"""Addresses of endpoints and entries, as others name them."""

import ipaddress

MAX_PORT = 65_535


def is_address(text):
    """Return whether a value is an IPv4 address with a port, to which data can be sent.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:0"), is_address("a:80"), is_address(None)
    (True, False, False, False)
    """
    if not isinstance(text, str):
        return False
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
