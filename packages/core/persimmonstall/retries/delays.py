"""Decision whether to retry, and the delay before a retry."""

from ..failures import Reason

BASE_SECONDS = 0.05
"""Mean delay before the first retry of a request."""

CAP_SECONDS = 2.0
"""Maximum mean delay between two attempts."""

UNCHARGED_REASONS = frozenset((Reason.BUSY, Reason.LEAVING, Reason.NO_MEMORY))
"""Refusals before any work was done; their retries are cheap and not charged to the budget."""

NON_RETRYABLE_REASONS = frozenset(
    (
        Reason.BAD_REQUEST,
        Reason.PROMPT_TOO_LONG,
        Reason.QUARANTINED,
        Reason.DEADLINE,
        Reason.CANCELLED,
        Reason.AMBIGUOUS,
        Reason.GIVEN_UP,
        Reason.KEY_CONFLICT,
        Reason.KEY_IN_FLIGHT,
        Reason.TOO_LATE,
    )
)
"""Failures that are not retried, since another attempt would fail as well."""


def backoff(attempt, random):
    """Return the delay in seconds before attempt number `attempt` + 1, with full jitter.

    >>> from random import Random
    >>> 0.0 <= backoff(1, Random(1)) <= 2 * BASE_SECONDS
    True
    """
    mean = min(CAP_SECONDS, BASE_SECONDS * 2.0 ** (attempt - 1))
    return 2.0 * mean * random.random()


def retry_delay(reason, attempt, time_left, budget, now, random):
    """Return the seconds to wait before another attempt, or None to end the request now.

    `attempt` is the number of attempts made so far, `time_left` the seconds within which the
    next one must start to be useful.
    """
    if reason in NON_RETRYABLE_REASONS:
        return None
    if reason in UNCHARGED_REASONS:
        delay = 0.0 if attempt <= 1 else backoff(attempt - 1, random)
        return delay if delay <= time_left else None
    delay = max(backoff(attempt, random), budget.take(now))
    if delay > time_left:
        budget.refund()
        return None
    return delay
