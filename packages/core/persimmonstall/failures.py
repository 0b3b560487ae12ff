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
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_SLOW = "body_too_slow"
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
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_TOO_SLOW: 408,
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

MEANINGS = {
    Reason.BAD_REQUEST: "The request is malformed; the message says where.",
    Reason.UNAUTHENTICATED: "No key was given, or it is not known.",
    Reason.FORBIDDEN: "The organisation may not use this model, adapter or service.",
    Reason.SUSPENDED: "An operator has suspended the organisation.",
    Reason.UNKNOWN_MODEL: "There is no such model or adapter.",
    Reason.UNKNOWN_SERVICE: "There is no such plain service.",
    Reason.BODY_TOO_LARGE: "The body is over the limit of the settings.",
    Reason.HEADERS_TOO_LARGE: "The headers are over the limit of the configuration.",
    Reason.BODY_TOO_SLOW: "The body took longer than the configuration allows.",
    Reason.PROMPT_TOO_LONG: "Prompt and output do not fit the model's context, or the fleet.",
    Reason.RATE_LIMITED: "The organisation is over its requests or tokens per second.",
    Reason.CONCURRENCY_LIMITED: "The organisation has as many requests running as it may.",
    Reason.QUARANTINED: "The same content has crashed endpoints; an operator can lift this.",
    Reason.KEY_CONFLICT: "The idempotency key was used with another body.",
    Reason.KEY_IN_FLIGHT: "The call of this idempotency key is still running.",
    Reason.GIVEN_UP: "The attempt lost its claim: another had given the key up.",
    Reason.OVERLOADED: "The fleet is busy and others go first.",
    Reason.BUSY: "Every endpoint that could serve it is busy.",
    Reason.LEAVING: "The endpoint takes no new work.",
    Reason.NO_ENDPOINT: "No endpoint serves this model or service now.",
    Reason.TOO_LATE: "It cannot end within its deadline.",
    Reason.DEADLINE: "The deadline has passed.",
    Reason.TABLE_DOWN: "The platform's table does not answer; non-idempotent work needs it.",
    Reason.STORE_DOWN: "The platform's object store does not answer.",
    Reason.PEER_LOST: "The endpoint daemon is out of reach.",
    Reason.ENDPOINT_LOST: "The endpoint has died.",
    Reason.ENDPOINT_ERROR: "The endpoint answered with an error.",
    Reason.NO_MEMORY: "The prompt does not fit the memory of the engines.",
    Reason.STALE_FENCE: "The order carries an old fencing number.",
    Reason.CONFLICT: "The record was changed by somebody else.",
    Reason.NOT_FOUND: "There is no such thing.",
    Reason.CANCELLED: "The caller went away.",
    Reason.AMBIGUOUS: "Whether the call was run is not known.",
    Reason.INTERNAL: "A bug; the log has it under the request id.",
}
"""What each reason tells the caller."""


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
class Postponed(Failure):
    """Something that cannot be done now but probably after `delay` seconds."""

    delay: float = 0.0


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


def page():
    """Return the reference page of the reasons in Markdown."""
    lines = [
        "# Errors",
        "",
        "Generated by `make reference` from `persimmonstall.failures`.",
        "",
        "A refusal is a JSON object `error` with `message`, `type`, `code` (the reason below),",
        "`outcome`, `step`, `peer` and `request_id`.  `outcome` is `not_run` when the request",
        "was certainly not run, and `unknown` when it may have been.  `retry_after` (seconds)",
        "and the header `Retry-After` say when to come back; without them the same request would",
        "be refused again.  In a stream that has begun, the object comes as the last event,",
        "without `[DONE]`.",
        "",
        "| code | HTTP status | meaning |",
        "|---|---|---|",
    ]
    for reason in Reason:
        lines.append(f"| `{reason}` | {status_of(reason)} | {MEANINGS[reason]} |")
    return "\n".join(lines) + "\n"
