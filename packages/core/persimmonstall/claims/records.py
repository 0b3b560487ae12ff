"""The value of a claim's row: started, given up or finished; an absent row is unclaimed."""

import hashlib

import attrs
import msgspec

from ..failures import Failure, Reason

TABLE = "claims"
"""Name of the table that holds the claims."""


@attrs.frozen
class Answer:
    """A finished call's answer; the body is stored under `object_name` when that is set."""

    status: int
    content_type: str
    body: bytes = b""
    object_name: str = ""


@attrs.frozen
class Claim:
    """What every state of a claim has; `at` is the Unix time of the write in seconds."""

    generation: int
    body_hash: str
    at: float


@attrs.frozen
class Started(Claim):
    """The attempt is about to be handed over, or was, at `endpoint`."""

    attempt: str
    endpoint: str


@attrs.frozen
class GivenUp(Claim):
    """No attempt of this generation or a lower one was or will be handed over."""


@attrs.frozen
class Finished(Claim):
    """The attempt ran and its answer is known."""

    attempt: str
    answer: Answer


KINDS = {"started": Started, "given_up": GivenUp, "finished": Finished}
NAMES = {kind: name for name, kind in KINDS.items()}


def row_key(organisation, key):
    """Return the key of the claim's row; keys of two organisations never meet.

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
    return msgspec.msgpack.encode((NAMES[type(claim)], claim))


def decode_claim(value):
    """Return the claim in a row's value, or a `Failure` when it is malformed."""
    try:
        name, fields = msgspec.msgpack.decode(value)
        return msgspec.convert(fields, KINDS[name])
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
        return Failure(Reason.INTERNAL, "claim", "table", str(error))
