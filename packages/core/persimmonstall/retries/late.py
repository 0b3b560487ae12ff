"""Detection of a late first token, after which a short request is retried elsewhere.

The late attempt is cancelled instead of being raced against the new one (hedging): it is late
because its endpoint is overloaded or not responding, and a second copy would add to the load.
"""

import math

LATE_FACTOR = 4.0
"""Multiple of the expected time to the first token after which an attempt is late."""

MIN_SECONDS = 0.4
"""Minimum time before an attempt counts as late."""

MAX_PROMPT_TOKENS = 4_000
"""Longest prompt that is retried, in tokens; a second long prefill costs more than it gains."""


def first_token_timeout(work, expected, now):
    """Return the seconds to wait for a first token that is expected in `expected` seconds.

    Infinite if the work must not run twice, has a long prompt, or has no time left for another
    attempt.
    """
    if not work.idempotent or work.service or work.prompt_tokens > MAX_PROMPT_TOKENS:
        return math.inf
    seconds = max(MIN_SECONDS, LATE_FACTOR * expected)
    return seconds if now + seconds + expected < work.deadline else math.inf
