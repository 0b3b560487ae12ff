"""Decides how long an attempt waits for an endpoint that sends nothing.

A sound endpoint may fall silent for a second or so and go on.  It is left for another endpoint only
when the caller would not wait much longer, unless its address accepts no connections.
"""

MIN_PATIENCE_SECONDS = 2.0
OBJECTIVE_PATIENCE = 4.0
GAP_PATIENCE = 8.0
"""Shortest gap after which callers leave a stream: the longest of a time in seconds and multiples
of its objectives for the first event and for gaps."""

MAX_SILENCE_SECONDS = 2.0
"""Silence after which an endpoint is left even if callers would wait longer."""

NEXT_EVENT_SECONDS = 0.3
"""Time in which another endpoint sends its first event."""


def caller_patience(route):
    """Return the gap in seconds after which callers leave a stream of a route."""
    return max(
        MIN_PATIENCE_SECONDS,
        OBJECTIVE_PATIENCE * route.objective,
        GAP_PATIENCE * route.gap_objective,
    )


def longest_silence(route, timeout):
    """Return the seconds after which an endpoint that accepts connections is left.

    `timeout` is the time after which one that accepts none is left.  Plain calls have no longer
    one, since another endpoint can still answer within their objective.
    """
    if not route.streaming:
        return timeout
    left = caller_patience(route) - NEXT_EVENT_SECONDS
    return max(timeout, min(MAX_SILENCE_SECONDS, left))
