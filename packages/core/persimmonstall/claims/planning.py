"""What an entry does with a keyed request, decided from the claim's row."""

import attrs

from ..failures import Failure, Outcome, Reason, Refusal
from ..messages.requests import ClaimTicket
from ..outside.table import ABSENT
from .records import Answer, Finished, GivenUp, decode_claim

STEP = "claim"
IN_FLIGHT_RETRY = 1.0
"""Seconds after which the caller of a key in flight may ask again."""


@attrs.frozen
class Replay:
    """The key is finished: its stored answer is the answer to this request too."""

    answer: Answer


def in_flight(key, peer=""):
    """Return the refusal of a key that another attempt holds; that attempt may run."""
    return Refusal(
        Reason.KEY_IN_FLIGHT,
        STEP,
        peer,
        "another request with this key is in flight, or its outcome is not known",
        Outcome.UNKNOWN,
        IN_FLIGHT_RETRY,
        key,
    )


def key_conflict(key):
    """Return the refusal of a key that was used before with another body.

    The earlier request may have run, so the outcome of the key is not stated as "not run".
    """
    detail = "this key was used before with another request"
    return Refusal(Reason.KEY_CONFLICT, STEP, "", detail, Outcome.UNKNOWN, None, key)


def claim_of(row):
    """Return the claim in a `Row` or None; a malformed row gives a `Failure`."""
    return None if row is None else decode_claim(row.value)


def plan(row, key_row, key, body_hash, wall):
    """Decide from the row just read: a `ClaimTicket` to run, a `Replay`, or a `Refusal`.

    `key_row` is the row's key and `key` the caller's; `wall` is the Unix time in seconds.
    """
    claim = claim_of(row)
    if claim is None:
        return ClaimTicket(key_row, 1, body_hash, ABSENT, wall)
    if isinstance(claim, Failure):
        return Refusal(
            claim.reason, STEP, claim.peer, claim.detail, Outcome.UNKNOWN, IN_FLIGHT_RETRY, key
        )
    if claim.body_hash != body_hash:
        return key_conflict(key)
    if isinstance(claim, Finished):
        return Replay(claim.answer)
    if isinstance(claim, GivenUp):
        return ClaimTicket(key_row, claim.generation + 1, body_hash, row.version, wall)
    return in_flight(key, claim.endpoint)
