"""Decides how long an attempt waits for an endpoint that sends nothing.

A sound endpoint may fall silent for a second or so and go on.  It is left for another endpoint
only when the caller would not wait much longer, unless its address accepts no connections.
"""

import attrs

MIN_PATIENCE_SECONDS = 2.0
OBJECTIVE_PATIENCE = 4.0
GAP_PATIENCE = 8.0
"""Shortest gap after which callers leave a stream: the longest of a time in seconds and multiples
of its objectives for the first event and for gaps."""

MAX_SILENCE_SECONDS = 2.0
"""Silence after which an endpoint is left even if callers would wait longer."""

NEXT_EVENT_SECONDS = 0.3
"""Time in which another endpoint sends its first event."""

CONSPICUOUS_SECONDS = 0.5
GAP_FACTOR = 2.0
"""Silence of a stream from which its endpoint gets no new calls if others are free: the longer of
a time in seconds and a multiple of its objective for gaps."""

RECONSIDER_SECONDS = 0.5
"""Interval at which it is considered again whether a silent endpoint can be left."""


@attrs.frozen
class SilenceTimeouts:
    """Durations of a silence, in seconds, at which something is done about it.

    After `conspicuous` the endpoint is avoided, after `check` it is left if it accepts no
    connections, after `leave` for an attempt that can follow; `end` is the deadline.

    >>> timeouts = SilenceTimeouts(0.5, 1.0, 1.75, 4.0)
    >>> [timeouts.seconds_to_next(silent) for silent in (0.0, 0.75, 1.0, 1.75, 2.5)]
    [0.5, 0.25, 0.75, 0.5, 0.5]
    """

    conspicuous: float
    check: float
    leave: float
    end: float

    def seconds_to_next(self, silent):
        """Return the seconds after which to act next, in a silence of `silent` seconds."""
        for duration in (self.conspicuous, self.check, self.leave):
            if silent < duration:
                return duration - silent
        return RECONSIDER_SECONDS


def silence_timeouts(route, timeout, end, usual, check_seconds):
    """Return the `SilenceTimeouts` of the next event, or of a plain answer.

    An endpoint that accepts no connections is left after `timeout`; the check takes up to
    `check_seconds`.  Until the first event a silence of `usual` seconds is normal.
    """
    leave = min(longest_silence(route, timeout), end)
    check = timeout - check_seconds if leave > timeout else timeout
    conspicuous = usual + max(CONSPICUOUS_SECONDS, GAP_FACTOR * route.gap_objective)
    if not route.streaming:
        conspicuous = check
    return SilenceTimeouts(min(conspicuous, check), check, leave, end)


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
