"""Due times: the order in which queues and engines run requests.

A request is due when it has waited a fixed multiple of its own service time, or earlier if its
deadline requires it.  Short requests are therefore due soon and overtake long ones, while a long
request that has become due is no longer overtaken, so that neither starves.
"""

WAIT_FACTOR = 12.0
"""Target wait as a multiple of the service time, at middle priority."""

MIN_WAIT_SECONDS = 0.1
"""Lower bound of the target wait, in seconds."""

SAFETY_FACTOR = 1.3
"""Safety factor on the service time when the latest start is derived from the deadline."""

MIDDLE_PRIORITY = 5
"""Organisation priority at which the target wait is not scaled."""

UNITS_PER_SECOND = 1000
"""Engine priorities are due times in milliseconds; the lowest runs first."""


def target_wait(service, priority):
    """Return the target wait in seconds; lower priorities are more urgent and wait less.

    >>> target_wait(0.1, 5) < target_wait(0.1, 9) < target_wait(10.0, 5)
    True
    """
    scale = (1.0 + priority) / (1.0 + MIDDLE_PRIORITY)
    return max(MIN_WAIT_SECONDS, WAIT_FACTOR * service * scale)


def due_time(arrived, service, deadline, priority):
    """Return the absolute time by which a request should start.

    >>> due_time(0.0, 10.0, 20.0, 5) == 20.0 - SAFETY_FACTOR * 10.0
    True
    """
    latest_start = deadline - SAFETY_FACTOR * service
    return min(arrived + target_wait(service, priority), latest_start)


def engine_priority(due, origin):
    """Return the engine priority of a request due at `due`, relative to a fixed `origin`."""
    return int((due - origin) * UNITS_PER_SECOND)
