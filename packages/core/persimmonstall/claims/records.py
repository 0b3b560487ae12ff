"""Values of a claim's row: started, given up or finished; without a row it is unclaimed."""

import hashlib

import attrs
import msgspec

from ..failures import Failure, Reason

TABLE = "claims"
"""Name of the table that holds the claims."""


@attrs.frozen
class Answer:
    """Answer of a finished call; if `object_name` is set, that object holds the body."""

    status: int
    content_type: str
    body: bytes = b""
    object_name: str = ""


@attrs.frozen
class Claim:
    """Fields common to all states of a claim; `at` is the Unix time of the write in seconds."""

    generation: int
    body_hash: str
    at: float


@attrs.frozen
class Started(Claim):
    """The attempt was handed over to `endpoint`, or is about to be."""

    attempt: str
    endpoint: str


@attrs.frozen
class GivenUp(Claim):
    """No attempt of this or a lower generation was or will be handed over."""


@attrs.frozen
class Finished(Claim):
    """The attempt has run, and its answer is known."""

    attempt: str
    answer: Answer


CLAIM_TYPES = {"started": Started, "given_up": GivenUp, "finished": Finished}
CLAIM_NAMES = {kind: name for name, kind in CLAIM_TYPES.items()}


def row_key(organisation, key):
    """Return the key of the claim's row; equal keys of two organisations do not collide.

    >>> row_key("a", "bc") == row_key("ab", "c")
    False
    """
    digest = hashlib.sha256(msgspec.msgpack.encode((organisation, key)))
    return digest.hexdigest()


def encode_claim(claim):
    """Return the row value of `claim`.

    >>> decode_claim(encode_claim(GivenUp(2, "h", 1.0)))
    GivenUp(generation=2, body_hash='h', at=1.0)
    """
    return msgspec.msgpack.encode((CLAIM_NAMES[type(claim)], claim))


def decode_claim(value):
    """Return the claim encoded in a row's value, or a `Failure` if it is malformed."""
    try:
        name, fields = msgspec.msgpack.decode(value)
        return msgspec.convert(fields, CLAIM_TYPES[name])
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
        return Failure(Reason.INTERNAL, "claim", "table", str(error))
