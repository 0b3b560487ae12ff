"""Datagrams by which an entry asks the owner of an endpoint's bound for a permit.

Replies about trials of blocked contents have the same fields.
"""

import enum

import attrs

from . import datagrams
from .datagrams import Kind
from .decoding import decoder
from .grants import Permit

STEP = "permit"

LIMIT_FIELDS = 6
"""Number of fields of a request that is about a request limit."""


class BoundKind(enum.StrEnum):
    """What bounds the requests to an endpoint: a limit that it names, or that it is cold."""

    REQUEST_LIMIT = "request_limit"
    COLD = "cold"


@attrs.frozen
class PermitRequest:
    """Asks for one request to an endpoint; `address` is that of the asking entry.

    `number` identifies the request at the asking entry.  `rate` is the limit that this entry
    knows, in requests per second, 0 for the bound of a cold endpoint; `patience` is the longest
    wait in seconds that it can use.  The bound of a cold endpoint is that of its `service`.
    """

    address: str
    number: int
    endpoint: str
    born: int
    rate: float
    patience: float
    bound: BoundKind = BoundKind.REQUEST_LIMIT
    service: str = ""

    @property
    def lifetime(self):
        """Identifier of the endpoint's lifetime."""
        return self.endpoint, self.born


@attrs.frozen
class PermitReply:
    """The owner's answer to the request `number`."""

    number: int
    permit: Permit


def encode_request(request):
    """Return the datagram that encodes a `PermitRequest`.

    Earlier versions know request limits only, whose datagrams have fewer fields.
    """
    fields = attrs.astuple(request)
    if request.bound is BoundKind.REQUEST_LIMIT:
        fields = fields[:LIMIT_FIELDS]
    return datagrams.encode(Kind.PERMIT_REQUEST, fields)


@decoder("permit request", STEP)
def decode_request(fields):
    """Return the `PermitRequest` in the fields of a datagram, or a `Failure`.

    >>> sent = PermitRequest("10.0.0.1:7340", 3, "e", 1, 2.5, 0.3)
    >>> decode_request(datagrams.decode(encode_request(sent)).fields) == sent
    True
    >>> cold = attrs.evolve(sent, bound=BoundKind.COLD, service="s")
    >>> decode_request(datagrams.decode(encode_request(cold)).fields) == cold
    True
    """
    address, number, endpoint, born, rate, patience = fields[:LIMIT_FIELDS]
    bound, service = fields[LIMIT_FIELDS:] or (BoundKind.REQUEST_LIMIT, "")
    datagrams.check_address(address)
    return PermitRequest(
        address,
        number,
        endpoint,
        born,
        float(rate),
        float(patience),
        BoundKind(bound),
        service,
    )


def encode_reply(reply, kind=Kind.PERMIT_REPLY):
    """Return the datagram of a `kind` that encodes a `PermitReply`."""
    return datagrams.encode(kind, (reply.number, reply.permit.granted, reply.permit.wait))


@decoder("permit reply", STEP)
def decode_reply(fields):
    """Return the `PermitReply` in the fields of a datagram, or a `Failure`.

    >>> decode_reply((3, True, 0.5))
    PermitReply(number=3, permit=Permit(granted=True, wait=0.5))
    """
    number, granted, wait = fields
    return PermitReply(number, Permit(bool(granted), float(wait)))
