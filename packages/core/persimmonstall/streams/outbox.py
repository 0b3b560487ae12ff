"""Sending side of an answer: buffer of generated tokens with flow control."""

import attrs

from ..messages.requests import Chunk


@attrs.define
class Outbox:
    """Output tokens of one attempt at the endpoint's daemon, and how far they were sent.

    Offsets count output tokens of the whole answer.  `base` is the offset from which the
    attempt resumed, that of the first token in `tokens`.  `window` is the maximum number of
    tokens that are sent but not yet consumed by the receiver.
    """

    request_id: str
    attempt: int
    window: int
    base: int = 0
    tokens: list = attrs.field(factory=list)
    sent: int = 0
    consumed: int = 0

    def __attrs_post_init__(self):
        self.sent = self.base
        self.consumed = self.base

    @property
    def count(self):
        """Offset after the last generated token."""
        return self.base + len(self.tokens)

    @property
    def drained(self):
        """Whether all generated tokens have been sent."""
        return self.sent == self.count

    def add(self, offset, tokens):
        """Append newly generated tokens; return False if tokens before `offset` are missing."""
        have = self.count
        if offset > have:
            return False
        self.tokens.extend(tokens[have - offset :])
        return True

    def take(self):
        """Return the next `Chunk` to send within the window, or None.

        >>> outbox = Outbox("r", 1, window=2)
        >>> outbox.add(0, (1, 2, 3))
        True
        >>> outbox.take().tokens, outbox.take()
        ((1, 2), None)
        >>> outbox.credit(2)
        >>> outbox.take().offset
        2
        """
        limit = min(self.count, self.consumed + self.window)
        if limit <= self.sent:
            return None
        start = self.sent
        tokens = tuple(self.tokens[start - self.base : limit - self.base])
        self.sent = limit
        return Chunk(self.request_id, self.attempt, start, tokens)

    def credit(self, offset):
        """Record that the receiver has consumed the tokens before `offset`."""
        self.consumed = max(self.consumed, min(offset, self.count))

    def rewind(self, offset):
        """Resume sending from `offset` over a new link; return False if it is out of range."""
        if not self.base <= offset <= self.count:
            return False
        self.sent = offset
        self.consumed = max(self.consumed, offset)
        return True
