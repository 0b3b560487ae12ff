"""Bounds the memory of the answers that an entry holds."""


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
        self.total += size - self.sizes.get(sink, 0)
        self.sizes[sink] = size
        self.readers[sink] = attempt
        while self.total > self.entry.settings.direct.answers_bytes and self.readers:
            self.drop(max(self.readers, key=self.sizes.__getitem__))

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
        self.total -= self.sizes.pop(sink, 0)
