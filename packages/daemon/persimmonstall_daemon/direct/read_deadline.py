"""A deadline that several reads of an answer share."""

import asyncio

from .endpoint_client import CATCH_UP_SECONDS, SUSPENSION_SECONDS


class ReadDeadline:
    """Ends the wait for an answer after `seconds`, however often bytes arrive meanwhile."""

    def __init__(self, seconds):
        self.clock = asyncio.get_running_loop().time
        self.due = 0.0
        self.restart(seconds)

    def restart(self, seconds):
        """Let the deadline pass `seconds` from now."""
        self.due = self.clock() + seconds

    def remaining(self):
        """Return the seconds left, at least 0.

        After a suspension of the process what arrived during it may still be read.
        """
        remaining = self.due - self.clock()
        if remaining <= -SUSPENSION_SECONDS:
            self.restart(CATCH_UP_SECONDS)
            return CATCH_UP_SECONDS
        return max(0.0, remaining)
