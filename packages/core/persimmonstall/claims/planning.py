"""An entry's decision on a request with an idempotency key, from the row of its claim."""

import attrs

from ..failures import Failure, Outcome, Reason, Refusal
from ..messages.requests import ClaimTicket
from ..outside.table import ABSENT
from .records import Answer, Finished, GivenUp, decode_claim

STEP = "claim"
IN_FLIGHT_RETRY_SECONDS = 1.0
"""Seconds after which the caller may retry while its key is in flight."""


@attrs.frozen
class Replay:
    """The request with this key has finished; its stored answer is returned again."""

    answer: Answer


def in_flight(key, peer=""):
    """Return the refusal of a key that another attempt holds; that attempt may be running."""
    return Refusal(
        Reason.KEY_IN_FLIGHT,
        STEP,
        peer,
        "another request with this key is in flight, or its outcome is not known",
        Outcome.UNKNOWN,
        IN_FLIGHT_RETRY_SECONDS,
        key,
    )


def key_conflict(key):
    """Return the refusal of a key that was used before with a different body.

    The earlier request may have run, so the outcome of the key is unknown, not "not run".
    """
    detail = "this idempotency key was already used with a different request body"
    return Refusal(Reason.KEY_CONFLICT, STEP, "", detail, Outcome.UNKNOWN, None, key)


def claim_of(row):
    """Return the claim in a `Row`, None without a row, or a `Failure` if it is malformed."""
    return None if row is None else decode_claim(row.value)


def plan_keyed_request(row, key_row, key, body_hash, wall):
    """Return a `ClaimTicket` to run the request, a `Replay` or a `Refusal`, from the row as read.

    `key_row` is the key of the row and `key` the caller's idempotency key; `wall` is the Unix
    time in seconds.
    """
    claim = claim_of(row)
    if claim is None:
        return ClaimTicket(key_row, 1, body_hash, ABSENT, wall)
    if isinstance(claim, Failure):
        return Refusal(
            claim.reason,
            STEP,
            claim.peer,
            claim.detail,
            Outcome.UNKNOWN,
            IN_FLIGHT_RETRY_SECONDS,
            key,
        )
    if claim.body_hash != body_hash:
        return key_conflict(key)
    if isinstance(claim, Finished):
        return Replay(claim.answer)
    if isinstance(claim, GivenUp):
        return ClaimTicket(key_row, claim.generation + 1, body_hash, row.version, wall)
    return in_flight(key, claim.endpoint)
