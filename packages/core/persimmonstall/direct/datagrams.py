"""Datagrams between entries other than beacons: a kind and its fields.

A beacon is an array of many fields and a typed datagram one of two, so that the first byte tells
them apart.  Entries of earlier versions take typed datagrams for malformed beacons and drop them.
"""

import enum

import attrs
import msgspec

from .addresses import is_address
from .decoding import decoder

STEP = "peers"

TWO_ELEMENTS = b"\x92"
"""First byte of a MessagePack array of two elements."""


class Kind(enum.StrEnum):
    """Kind of a typed datagram, as it is sent."""

    FINDINGS = "findings"
    PERMIT_REQUEST = "permit_request"
    PERMIT_REPLY = "permit_reply"
    TRIAL_REQUEST = "trial_request"
    TRIAL_REPLY = "trial_reply"
    EVACUATIONS = "evacuations"
    OBSERVATIONS = "observations"
    USAGE = "usage"
    HELD_ENDPOINTS = "held_endpoints"


@attrs.frozen
class Datagram:
    """A typed datagram; `fields` are plain values, whose order is part of the wire format."""

    kind: Kind
    fields: tuple


def is_typed(data):
    """Return whether a datagram has a kind; one without is a beacon."""
    return data[:1] == TWO_ELEMENTS


def encode(kind, fields):
    """Return the bytes of a typed datagram.

    >>> decode(encode(Kind.FINDINGS, (1, "a")))
    Datagram(kind=<Kind.FINDINGS: 'findings'>, fields=(1, 'a'))
    """
    return msgspec.msgpack.encode([str(kind), fields])


@decoder("datagram", STEP)
def decode(data):
    """Return the `Datagram` in `data`, or a `Failure` if it is malformed or of unknown kind.

    >>> decode(encode("later_kind", ())).detail
    "invalid datagram: ValueError: 'later_kind' is not a valid Kind"
    """
    kind, fields = msgspec.msgpack.decode(data)
    return Datagram(Kind(kind), tuple(fields))


def check_address(address):
    """Raise ValueError unless `address` is one to which a reply can be sent."""
    if not is_address(address):
        raise ValueError(f"not an address with a port: {address!r}")
