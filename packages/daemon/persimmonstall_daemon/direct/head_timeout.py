"""Timeout of a connection that waits for the head of a request."""

import asyncio

LAST_READ_SECONDS = 0.1
"""Time after a timeout in which a request that has arrived may still be read."""


class HeadTimeout:
    """A timeout that can be cancelled until a moment after it."""

    def __init__(self):
        self.timer = None

    def start(self, seconds, expire):
        """Call `expire()` in `seconds`; a timeout that is due earlier stays as it is."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self.timer is not None:
            if self.timer.when() <= due:
                return
            self.timer.cancel()
        self.timer = loop.call_at(due, self.read_last, expire)

    def read_last(self, expire):
        """Read what has arrived, since the event loop may be late, before expiring.

        Tasks that were made ready by then run first.
        """
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LAST_READ_SECONDS, loop.call_soon, expire)

    def cancel(self):
        """Cancel the timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
