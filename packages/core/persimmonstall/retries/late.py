"""Moving on: a short request whose first token is unusually late is attempted elsewhere.

The first attempt is cancelled rather than raced: it is late because its endpoint is busy or
silent, and a second copy of the work would add to that.
"""

import math

LATE_FACTOR = 4.0
"""Multiple of the expected time to first token after which an attempt is late."""

MIN_SECONDS = 0.4
"""Shortest wait before an attempt is late, in seconds."""

MAX_TOKENS = 4_000
"""Longest prompt that moves on, in tokens: a second long prefill costs more than it gains."""


def first_token_timeout(work, expected, now):
    """Return the seconds to wait for a first token that is expected in `expected` seconds.

    Infinite for work that may not be run again, is long, or has no time for another attempt.
    """
    if not work.idempotent or work.service or work.prompt_tokens > MAX_TOKENS:
        return math.inf
    seconds = max(MIN_SECONDS, LATE_FACTOR * expected)
    return seconds if now + seconds + expected < work.deadline else math.inf
