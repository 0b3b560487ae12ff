"""Sentinel values for errors: each carries its reason, the step and the peer it arose at.

A function that can fail in an expected way returns one of these instead of raising.  All of
them are false in a boolean context, so that a caller writes ``if not result: return result``.
"""

import enum

import attrs


class Outcome(enum.StrEnum):
    """What is known about whether the refused work was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Stable code of a failure, as callers and operators see it."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    SUSPENDED = "organisation_suspended"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    QUARANTINED = "quarantined"
    KEY_CONFLICT = "idempotency_key_conflict"
    KEY_IN_FLIGHT = "idempotency_key_in_flight"
    GIVEN_UP = "given_up"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    LEAVING = "leaving"
    NO_ENDPOINT = "no_endpoint"
    TOO_LATE = "cannot_finish_in_time"
    DEADLINE = "deadline_exceeded"
    TABLE_DOWN = "table_unavailable"
    STORE_DOWN = "store_unavailable"
    PEER_LOST = "peer_lost"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_ERROR = "endpoint_error"
    NO_MEMORY = "no_memory"
    STALE_FENCE = "stale_fence"
    CONFLICT = "version_conflict"
    NOT_FOUND = "not_found"
    CANCELLED = "cancelled"
    AMBIGUOUS = "outcome_unknown"
    INTERNAL = "internal_error"


HTTP_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.SUSPENDED: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NOT_FOUND: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.PROMPT_TOO_LONG: 400,
    Reason.RATE_LIMITED: 429,
    Reason.CONCURRENCY_LIMITED: 429,
    Reason.QUARANTINED: 422,
    Reason.KEY_CONFLICT: 422,
    Reason.KEY_IN_FLIGHT: 409,
    Reason.CONFLICT: 409,
    Reason.STALE_FENCE: 409,
    Reason.CANCELLED: 499,
    Reason.ENDPOINT_ERROR: 502,
    Reason.AMBIGUOUS: 504,
    Reason.DEADLINE: 504,
    Reason.INTERNAL: 500,
}
"""HTTP status of each reason; a reason that is absent answers 503."""

DEFAULT_STATUS = 503


def status_of(reason):
    """Return the HTTP status of `reason`.

    >>> status_of(Reason.RATE_LIMITED), status_of(Reason.TABLE_DOWN)
    (429, 503)
    """
    return HTTP_STATUS.get(reason, DEFAULT_STATUS)


@attrs.frozen
class Failure:
    """An expected error at `step`, met at `peer` (an instance, endpoint or outside system)."""

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""

    def __bool__(self):
        return False


@attrs.frozen
class Refusal(Failure):
    """The final answer to a request that was not served.

    `retry_after` is in seconds; None says that sending the same request again is pointless.
    """

    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    key: str = ""


def refuse(failure, retry_after=None, outcome=Outcome.NOT_RUN, key=""):
    """Turn a `Failure` of any step into the refusal that the caller is told.

    >>> refuse(Failure(Reason.BUSY, "place", "e1"), 2.0).retry_after
    2.0
    """
    return Refusal(
        failure.reason, failure.step, failure.peer, failure.detail, outcome, retry_after, key
    )
