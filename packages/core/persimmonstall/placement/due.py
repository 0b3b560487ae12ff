"""Due times: the one order in which queues and engines run work.

Work is due when it has waited a fixed multiple of its own service time, but in any case early
enough to meet its deadline.  Short work is therefore due soon and passes long work, while
long work becomes due in turn and cannot be passed for ever: neither starves.
"""

PATIENCE = 12.0
"""Multiple of its service time that work of middle priority may wait before it is due."""

MIN_PATIENCE_SECONDS = 0.1
"""Wait allowed to the shortest work, in seconds."""

SAFETY = 1.3
"""Factor on the service time when the latest start is worked out from the deadline."""

MIDDLE_PRIORITY = 5
"""Organisation priority whose patience is not changed."""

UNITS_PER_SECOND = 1000
"""Engine priorities are due times in milliseconds; lower runs first."""


def patience(service, priority):
    """Return the seconds that work may wait; lower priorities are more urgent.

    >>> patience(0.1, 5) < patience(0.1, 9) < patience(10.0, 5)
    True
    """
    scale = (1.0 + priority) / (1.0 + MIDDLE_PRIORITY)
    return max(MIN_PATIENCE_SECONDS, PATIENCE * service * scale)


def due_time(arrived, service, deadline, priority):
    """Return the absolute time at which work should start.

    >>> due_time(0.0, 10.0, 20.0, 5) == 20.0 - SAFETY * 10.0
    True
    """
    latest_start = deadline - SAFETY * service
    return min(arrived + patience(service, priority), latest_start)


def engine_priority(due, origin):
    """Return the engine's priority number for work due at `due`; `origin` is any fixed time."""
    return int((due - origin) * UNITS_PER_SECOND)
