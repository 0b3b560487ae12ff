"""Hedges: a second attempt of a short request whose first token is unusually late."""

import attrs

LATE_FACTOR = 4.0
"""Multiple of the expected time to first token after which a hedge is considered."""

LEAST_SECONDS = 0.3
"""Shortest wait before a hedge, in seconds."""

MOST_TOKENS = 4_000
"""Longest prompt that is hedged, in tokens: a second long prefill costs more than it gains."""


@attrs.frozen
class Hedge:
    """Send a second attempt `delay` seconds after the first, if it is still silent."""

    delay: float


def plan_hedge(work, expected, now):
    """Return a `Hedge` for an attempt expected to answer in `expected` seconds, or None.

    Whether the budget allows it is asked when the delay is over, by `RetryBudget.spare`.
    """
    if not work.idempotent or work.service:
        return None
    if work.prompt_tokens > MOST_TOKENS:
        return None
    delay = max(LEAST_SECONDS, LATE_FACTOR * expected)
    if now + delay + expected > work.deadline:
        return None
    return Hedge(delay)
