"""The urgency with which an engine admits a call."""

HIGH_URGENCY = 3
LOW_URGENCY = 5
"""Urgency of calls whose latency objective is at most `URGENT_OBJECTIVE`, and of all others;
engines admit lower values first."""

URGENT_OBJECTIVE = 0.5
"""Latency objective, in seconds, up to which a call is urgent."""


def urgency_of(routed):
    """Return the urgency of a call."""
    return HIGH_URGENCY if routed.route.objective <= URGENT_OBJECTIVE else LOW_URGENCY
