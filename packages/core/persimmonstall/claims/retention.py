"""How long claims are kept, and the bounds from which this follows, in seconds.

A claim is the stored record by which a call with an idempotency key runs at most once.
"""

MAX_DEADLINE_SECONDS = 6 * 3600.0
"""Longest deadline that the settings may allow a request."""

MAX_PAUSE_SECONDS = 6 * 3600.0
"""Longest pause of a daemon, and longest delay of a table write, that is tolerated."""

MAX_CLOCK_SKEW_SECONDS = 60.0
"""Maximum difference between the wall clocks of two instances."""

TICKET_LIFETIME_SECONDS = MAX_DEADLINE_SECONDS + MAX_CLOCK_SKEW_SECONDS
"""Age above which an endpoint's daemon rejects a ticket."""

RETENTION_SECONDS = 24 * 3600.0
"""Age above which a claim's row and its stored answer are deleted.

Long enough that the row against which a ticket was issued still exists if the ticket is
accepted at the end of its lifetime, its holder is then paused, and the holder's write is
delayed after that.
"""

assert RETENTION_SECONDS > TICKET_LIFETIME_SECONDS + 2 * MAX_PAUSE_SECONDS + MAX_CLOCK_SKEW_SECONDS


def ticket_expired(issued, wall):
    """Return whether a ticket issued at Unix time `issued` has expired at time `wall`.

    >>> ticket_expired(0.0, 10.0), ticket_expired(0.0, 100_000.0)
    (False, True)
    """
    return wall - issued > TICKET_LIFETIME_SECONDS


def row_expired(at, wall):
    """Return whether a row last written at Unix time `at` may be deleted at time `wall`.

    >>> row_expired(0.0, 3600.0), row_expired(0.0, 90_000.0)
    (False, True)
    """
    return wall - at > RETENTION_SECONDS
