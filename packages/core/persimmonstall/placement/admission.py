"""Admission control: refuses requests that cannot finish before their deadline."""

from ..failures import Reason, Refusal

STEP = "admit"

SAFETY_FACTOR = 1.1
"""Safety factor on estimated times, to allow for estimation errors."""

MIN_RETRY_SECONDS = 0.5
"""Lower bound of Retry-After, in seconds."""

MAX_RETRY_SECONDS = 60.0
"""Upper bound of Retry-After, in seconds."""

PRIORITY_LEVELS = 10
"""Number of organisation priorities; 0 is the most urgent."""

PRIORITY_MARGIN = 0.5
"""Share by which the allowed wait would be reduced at priority `PRIORITY_LEVELS`; the reduction is
proportional to the priority."""


def allowed_wait(work, placed, now):
    """Return the longest wait, in seconds, at which `work` is admitted.

    Less urgent priorities are allowed a shorter wait, so that under load their requests are
    refused first and capacity is left to the more urgent ones.
    """
    left = work.deadline - now - SAFETY_FACTOR * placed.service
    margin = PRIORITY_MARGIN * min(work.priority, PRIORITY_LEVELS - 1) / PRIORITY_LEVELS
    return left * (1.0 - margin) / SAFETY_FACTOR


def admit(work, placed, now, random):
    """Return None if `work` is admitted as `placed`, else a final `Refusal`.

    Retry-After is the time in which the current wait falls to the allowed one.
    """
    allowed = allowed_wait(work, placed, now)
    if allowed >= 0.0 and placed.wait <= allowed:
        return None
    if now >= work.deadline:
        return Refusal(Reason.DEADLINE, STEP, placed.endpoint, retry_after=MIN_RETRY_SECONDS)
    return Refusal(
        Reason.TOO_LATE,
        STEP,
        placed.endpoint,
        f"needs {placed.wait + placed.service:.1f} s, deadline in {work.deadline - now:.1f} s",
        retry_after=retry_after(placed.wait - max(0.0, allowed), random),
    )


def retry_after(excess, random):
    """Return the Retry-After, with jitter, for a wait that is `excess` seconds too long.

    >>> from random import Random
    >>> 8.0 <= retry_after(10.0, Random(1)) <= 12.0
    True
    """
    seconds = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, excess))
    return seconds * (0.8 + 0.4 * random.random())
