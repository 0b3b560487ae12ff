"""Delay before a retry, and the decision whether there is to be one."""

import attrs

from ..failures import Failure, Outcome, Reason

BASE_SECONDS = 0.05
"""Mean delay before the first retry of a request."""

CAP_SECONDS = 2.0
"""Longest mean delay between two attempts."""

FREE_REASONS = frozenset((Reason.BUSY, Reason.LEAVING, Reason.NO_MEMORY))
"""Refusals that ran nothing and cost next to nothing; they do not draw on the budget."""

FINAL_REASONS = frozenset(
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
"""Failures that another attempt would not change."""


@attrs.frozen
class Retry:
    """Try again after `delay` seconds, elsewhere if `avoid` names an endpoint."""

    delay: float
    avoid: str = ""


def backoff(attempt, random):
    """Return a delay in seconds before attempt number `attempt` + 1, with full jitter.

    >>> from random import Random
    >>> 0.0 <= backoff(1, Random(1)) <= 2 * BASE_SECONDS
    True
    """
    mean = min(CAP_SECONDS, BASE_SECONDS * 2.0 ** (attempt - 1))
    return 2.0 * mean * random.random()


def may_repeat(work, outcome):
    """Return whether `work` may be attempted again after an attempt with `outcome`."""
    return work.idempotent or outcome == Outcome.NOT_RUN


def next_attempt(work, failure, outcome, attempt, service, budget, limit, now, random):
    """Return a `Retry`, or the final `Failure` at once when there is to be none.

    `attempt` is the number of attempts made, `service` the shortest time in seconds that
    another one needs, `limit` the most attempts.
    """
    if failure.reason in FINAL_REASONS or attempt >= limit:
        return failure
    if not may_repeat(work, outcome):
        return Failure(Reason.AMBIGUOUS, "retry", failure.peer, failure.reason)
    free = failure.reason in FREE_REASONS
    delay = 0.0 if free else max(backoff(attempt, random), budget.take(now))
    if free and attempt > 1:
        delay = backoff(attempt - 1, random)
    if now + delay + service > work.deadline:
        if not free:
            budget.give_back()
        return Failure(Reason.TOO_LATE, "retry", failure.peer, failure.reason)
    return Retry(delay, failure.peer)
