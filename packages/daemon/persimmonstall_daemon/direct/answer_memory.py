"""Bounds the memory of the answers that an entry holds."""

from persimmonstall.direct.byte_budget import LARGE_BYTES


class AnswerMemory:
    """The bytes of answers that are read or not yet passed on, by the sink of their call.

    `entry` has the settings.  `readers` are the attempts that are reading an answer.
    """

    def __init__(self, entry):
        self.entry = entry
        self.sizes = {}
        self.readers = {}
        self.total = 0

    def hold(self, sink, size, attempt):
        """Record that `attempt` has read `size` bytes; drop the largest answers if too many.

        The answer that is dropped may be that of `attempt` itself.
        """
        more = size - self.sizes.get(sink, 0)
        self.total += more
        self.sizes[sink] = size
        self.readers[sink] = attempt
        self.entry.memory.hold_answer(sink, size, more)
        while self.readers and self.exceeded:
            self.drop(self.largest())

    def largest(self):
        """Return the sink of the largest answer in progress."""
        return max(self.readers, key=self.sizes.__getitem__)

    def drop_large(self):
        """Drop the largest answer in progress if it is large; return whether it was."""
        if not self.readers or self.sizes[self.largest()] < LARGE_BYTES:
            return False
        self.drop(self.largest())
        return True

    @property
    def exceeded(self):
        """Whether all answers together exceed the bound of the settings."""
        return self.total > self.entry.settings.direct.answers_bytes

    def drop(self, sink):
        """Make an attempt give up the answer that it reads."""
        attempt = self.readers[sink]
        self.release(sink)
        attempt.drop()

    def reading_ended(self, sink):
        """Record that the answer is complete; it stays held until it is released."""
        self.readers.pop(sink, None)

    def release(self, sink):
        """Record that the answer is no longer held; releasing it twice is harmless."""
        self.readers.pop(sink, None)
        size = self.sizes.pop(sink, 0)
        self.total -= size
        self.entry.memory.release_answer(sink, size)
