"""An output stream for logs that never blocks and limits the rate of lines."""

import os
import time

LINES_PER_SECOND = 250.0
BURST_LINES = 1000.0
"""Sustained rate and burst size of the rate limit; lines beyond it are dropped."""


class BoundedStream:
    """Writes lines to a file descriptor; `dropped` counts the lines that were not written.

    A write never waits for a reader: a line that the system cannot accept at once is dropped.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        self.descriptor = descriptor
        self.clock = clock
        self.allowance = BURST_LINES
        self.refilled = clock()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write one line, or drop it."""
        now = self.clock()
        self.allowance = min(
            BURST_LINES, self.allowance + (now - self.refilled) * LINES_PER_SECOND
        )
        self.refilled = now
        if self.allowance < 1.0:
            self.dropped += 1
            return
        self.allowance -= 1.0
        try:
            os.write(self.descriptor, text.encode())
        except BlockingIOError:
            self.dropped += 1

    def flush(self):
        """Do nothing: lines are not buffered."""
