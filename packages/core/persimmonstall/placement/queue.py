"""Chooses the queue of an engine by the placement policy."""

from .due_time_queue import DueTimeQueue
from .fifo_queue import FifoQueue


def make_engine_queue(settings):
    """Return the queue for the placement policy of the settings."""
    return DueTimeQueue(settings) if settings.placing.policy == "length" else FifoQueue(settings)
