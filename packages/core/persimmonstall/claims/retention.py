"""How long claims live, and the bounds that this follows from; all in seconds."""

LONGEST_DEADLINE = 6 * 3600.0
"""Longest deadline that the settings allow a request to name."""

PAUSE_BOUND = 6 * 3600.0
"""Longest pause of a daemon, or delay of a write in the table service, that is survived."""

CLOCK_SKEW = 60.0
"""Largest difference between the wall clocks of two instances."""

TICKET_LIFE = LONGEST_DEADLINE + CLOCK_SKEW
"""Age at which an endpoint's daemon no longer accepts a ticket."""

RETENTION = 24 * 3600.0
"""Age at which a claim's row and its stored answer are deleted.

A ticket accepted at the end of its life, whose holder is paused and whose write is delayed
after that, still meets the row that it was issued against.
"""

assert RETENTION > TICKET_LIFE + 2 * PAUSE_BOUND + CLOCK_SKEW


def ticket_expired(issued, wall):
    """Say whether a ticket issued at wall time `issued` is too old at `wall`.

    >>> ticket_expired(0.0, 10.0), ticket_expired(0.0, 100_000.0)
    (False, True)
    """
    return wall - issued > TICKET_LIFE


def row_expired(at, wall):
    """Say whether a row last written at wall time `at` may be deleted at `wall`.

    >>> row_expired(0.0, 3600.0), row_expired(0.0, 90_000.0)
    (False, True)
    """
    return wall - at > RETENTION
