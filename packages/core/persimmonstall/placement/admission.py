"""Admission: only what can finish by its deadline is taken; the rest is refused at once."""

from ..failures import Reason, Refusal

STEP = "admit"

SAFETY = 1.1
"""Factor on the estimated time, for what the estimate cannot know."""

MIN_RETRY_SECONDS = 0.5
"""Shortest Retry-After, in seconds."""

MAX_RETRY_SECONDS = 60.0
"""Longest Retry-After, in seconds."""

PRIORITY_LEVELS = 10
"""Organisation priorities run from 0, which goes first, to one less than this."""

PRIORITY_MARGIN = 0.5
"""Share of its time left that a request of the last priority may not plan to wait for."""


def allowed_wait(work, placed, now):
    """Return the longest wait in seconds at which `work` is still admitted.

    The less urgent an organisation's priority, the sooner its requests are refused as waits
    grow, so that what is left goes to the more urgent ones.
    """
    left = work.deadline - now - SAFETY * placed.service
    margin = PRIORITY_MARGIN * min(work.priority, PRIORITY_LEVELS - 1) / PRIORITY_LEVELS
    return left * (1.0 - margin) / SAFETY


def admit(work, placed, now, random):
    """Return None when `work` is admitted as `placed`, else the final `Refusal`, at once.

    The Retry-After is the time after which the present wait will have drained far enough.
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
        f"needs {placed.wait + placed.service:.1f} s of {work.deadline - now:.1f} s",
        retry_after=retry_after(placed.wait - max(0.0, allowed), random),
    )


def retry_after(excess, random):
    """Return when to come back after a wait was `excess` seconds too long, with jitter.

    >>> from random import Random
    >>> 8.0 <= retry_after(10.0, Random(1)) <= 12.0
    True
    """
    seconds = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, excess))
    return seconds * (0.8 + 0.4 * random.random())
