"""Time limits of calls in progress, by the entry's clock and not past its exit."""

import asyncio
import contextlib

REPLY_MARGIN_SECONDS = 0.03
"""Time before a deadline or the exit that is reserved for sending the answer."""


class TimeLimits:
    """Ends waits at their deadlines, or shortly before the entry exits if that is earlier."""

    def __init__(self, entry):
        self.entry = entry
        self.deadlines = {}

    @contextlib.asynccontextmanager
    async def until(self, deadline):
        """Raise TimeoutError if the body has not ended in time to answer by `deadline`."""
        limit = asyncio.timeout(self.remaining(deadline))
        async with limit:
            self.deadlines[limit] = deadline
            try:
                yield
            finally:
                del self.deadlines[limit]

    def remaining(self, deadline):
        """Return the seconds that are left for work that must be answered by `deadline`."""
        end = min(deadline, self.entry.exits_at)
        return max(0.0, end - REPLY_MARGIN_SECONDS - self.entry.now())

    def reschedule(self):
        """Reschedule all limits: the process was suspended, or it is to exit.

        The clock of the event loop stands still during a suspension.
        """
        loop = asyncio.get_running_loop()
        for limit, deadline in self.deadlines.items():
            if not limit.expired():
                limit.reschedule(loop.time() + self.remaining(deadline))
