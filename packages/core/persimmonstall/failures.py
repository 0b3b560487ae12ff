"""Error values, which functions return instead of raising.

A function that can fail in an expected way returns a `Failure` with the reason, the pipeline
step and the peer involved.  All error values are falsy, so that a caller can write
``if not result: return result``.
"""

import enum

import attrs


class Outcome(enum.StrEnum):
    """Whether work that failed was run, as far as is known."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Stable code of a failure, as callers and operators see it."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    SUSPENDED = "organisation_suspended"
    UNSENDABLE = "organisation_unsendable"
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
"""HTTP status of each reason; reasons that are absent map to `DEFAULT_STATUS`."""

DEFAULT_STATUS = 503

MEANINGS = {
    Reason.BAD_REQUEST: "The request is malformed; the message says where.",
    Reason.UNAUTHENTICATED: "No API key was given, or the key is unknown.",
    Reason.FORBIDDEN: "The organisation may not use this model, adapter or service.",
    Reason.SUSPENDED: "An operator has suspended the organisation.",
    Reason.UNSENDABLE: "Endpoints cannot be told the organisation's name; it has to be changed.",
    Reason.UNKNOWN_MODEL: "No such model or adapter exists.",
    Reason.UNKNOWN_SERVICE: "No such plain service exists.",
    Reason.BODY_TOO_LARGE: "The body exceeds the limit in the settings.",
    Reason.HEADERS_TOO_LARGE: "The headers exceed the limit in the configuration.",
    Reason.BODY_TOO_SLOW: "The body took longer to arrive than allowed.",
    Reason.PROMPT_TOO_LONG: "Prompt and output exceed the model's context or the fleet's memory.",
    Reason.RATE_LIMITED: "The organisation exceeds its requests or tokens per second.",
    Reason.CONCURRENCY_LIMITED: "The organisation has reached its limit of concurrent requests.",
    Reason.QUARANTINED: "The same content has crashed endpoints; operators can lift this.",
    Reason.KEY_CONFLICT: "The idempotency key was used with a different body.",
    Reason.KEY_IN_FLIGHT: "A call with this idempotency key is still running.",
    Reason.GIVEN_UP: "The attempt lost its claim, which had been given up.",
    Reason.OVERLOADED: "The fleet is overloaded and the organisation exceeds its fair share.",
    Reason.BUSY: "Every endpoint that could serve the request is busy.",
    Reason.LEAVING: "The endpoint or the entry is stopping and accepts no new work.",
    Reason.NO_ENDPOINT: "No endpoint currently serves this model or service.",
    Reason.TOO_LATE: "The request cannot finish before its deadline.",
    Reason.DEADLINE: "The deadline has passed.",
    Reason.TABLE_DOWN: "The table service, which non-idempotent work needs, does not respond.",
    Reason.STORE_DOWN: "The platform's object store does not respond.",
    Reason.PEER_LOST: "The endpoint daemon is unreachable.",
    Reason.ENDPOINT_LOST: "The endpoint has died.",
    Reason.ENDPOINT_ERROR: "The endpoint returned an error.",
    Reason.NO_MEMORY: "The engines do not have enough memory for the prompt.",
    Reason.STALE_FENCE: "The order carries an outdated fencing number.",
    Reason.CONFLICT: "The record has been changed by someone else.",
    Reason.NOT_FOUND: "No such object exists.",
    Reason.CANCELLED: "The caller closed the connection or cancelled.",
    Reason.AMBIGUOUS: "It is unknown whether the call was run.",
    Reason.INTERNAL: "A bug; the log has details under the request id.",
}
"""Description of each reason for the reference page."""


def status_of(reason):
    """Return the HTTP status of `reason`.

    >>> status_of(Reason.RATE_LIMITED), status_of(Reason.TABLE_DOWN)
    (429, 503)
    """
    return HTTP_STATUS.get(reason, DEFAULT_STATUS)


@attrs.frozen
class Failure:
    """An expected error in `step`, at `peer` (an instance, endpoint or platform service)."""

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""

    def __bool__(self):
        return False


@attrs.frozen
class Postponed(Failure):
    """A temporary failure; a retry after `delay` seconds is likely to succeed."""

    delay: float = 0.0


@attrs.frozen
class Refusal(Failure):
    """The final response to a request that was not served.

    `retry_after` is in seconds; None means that a retry of the same request would fail again.
    `key` is the idempotency key.
    """

    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    key: str = ""


def refuse(failure, retry_after=None, outcome=Outcome.NOT_RUN, key=""):
    """Return the `Refusal` that reports a `Failure` to the caller.

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
        "and the header `Retry-After` say when to retry; without them a retry of the same request",
        "would be refused again.  If the response stream has already started, the object is sent",
        "as the last event, without `[DONE]`.",
        "",
        "| code | HTTP status | meaning |",
        "|---|---|---|",
    ]
    for reason in Reason:
        lines.append(f"| `{reason}` | {status_of(reason)} | {MEANINGS[reason]} |")
    return "\n".join(lines) + "\n"
