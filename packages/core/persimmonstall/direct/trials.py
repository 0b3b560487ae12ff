"""Datagrams by which an entry asks the owner of a blocked key whether to try a call with it."""

import attrs

from . import datagrams
from .crash_record import RecordKind
from .datagrams import Kind
from .decoding import decoder

STEP = "trial"


@attrs.frozen
class TrialRequest:
    """Asks to try one call with the content or part `key`; `address` is the asking entry's.

    `number` identifies the request at the asking entry.  `at_once` says of a content that it was
    answered completely there lately, of a part that the trial is a telling one.
    """

    address: str
    number: int
    kind: RecordKind
    key: str
    at_once: bool = False


def encode_request(request):
    """Return the datagram that encodes a `TrialRequest`."""
    fields = (request.address, request.number, request.kind.value, request.key, request.at_once)
    return datagrams.encode(Kind.TRIAL_REQUEST, fields)


@decoder("trial request", STEP)
def decode_request(fields):
    """Return the `TrialRequest` in the fields of a datagram, or a `Failure`.

    >>> sent = TrialRequest("10.0.0.1:7340", 3, RecordKind.PART, "5a", True)
    >>> decode_request(datagrams.decode(encode_request(sent)).fields) == sent
    True
    >>> decode_request(("10.0.0.1:7340", 3, "word", "5a", True)).detail
    "invalid trial request: ValueError: 'word' is not a valid RecordKind"
    """
    address, number, kind, key, at_once = fields
    datagrams.check_address(address)
    return TrialRequest(address, number, RecordKind(kind), str(key), bool(at_once))
