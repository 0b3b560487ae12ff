"""A stream for log lines that never blocks and whose volume is bounded."""

import os
import time

LINES_PER_SECOND = 250.0
BURST_LINES = 1000.0
"""Lines that may be written in the long run, and at once; what is beyond them is dropped."""


class BoundedStream:
    """Writes lines to the file descriptor `number`; `dropped` counts lines not written.

    Writing does not wait for a reader: a line that the system does not take at once is dropped.
    """

    def __init__(self, number, clock=time.monotonic):
        self.number = number
        self.clock = clock
        self.allowance = BURST_LINES
        self.refilled = clock()
        self.dropped = 0
        os.set_blocking(number, False)

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
            os.write(self.number, text.encode())
        except BlockingIOError:
            self.dropped += 1

    def flush(self):
        """Nothing is kept back."""
