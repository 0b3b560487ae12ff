"""The urgency with which an engine admits a call."""

HIGHEST, LOWEST = 0, 9
"""Range of urgencies; engines admit lower values first."""

MIDDLE_URGENCY = 4
"""Urgency between those of short and of long objectives, while all priorities are equal."""

URGENT_OBJECTIVE = 0.5
"""Latency objective, in seconds, up to which a call goes before others of its priority."""


def urgency_of(routed):
    """Return the urgency of a call: by priority, and among equal ones by latency objective.

    Priorities in use are numbered around the middle; if there are more than the range holds, the
    outermost ones share an urgency.
    """
    late = routed.route.objective > URGENT_OBJECTIVE
    return urgency(routed.priority, routed.priorities, late)


def urgency(priority, priorities, long_objective):
    """Return the urgency of a priority among the `priorities` in use, in ascending order.

    >>> urgency(1, (1,), False), urgency(1, (1,), True)
    (3, 5)
    >>> [urgency(p, (0, 1, 2), long) for p in (0, 1, 2) for long in (False, True)]
    [0, 2, 3, 5, 6, 8]
    >>> [urgency(p, range(5), long) for p in range(5) for long in (False, True)]
    [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]
    """
    levels = max(1, len(priorities))
    level = sum(each < priority for each in priorities)
    step = (LOWEST + 1) // levels
    if step >= 3:
        offset = (level - levels // 2) * 3
        value = MIDDLE_URGENCY + offset + (1 if long_objective else -1)
    elif step == 2:
        value = 2 * level + long_objective
    else:
        value = level * (LOWEST + 1) // levels
    return min(LOWEST, max(HIGHEST, value))
