"""Sending side of an answer: buffer of generated tokens with flow control."""

import attrs

from ..messages.requests import Chunk


@attrs.define
class SendBuffer:
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
    def end_offset(self):
        """Offset after the last generated token."""
        return self.base + len(self.tokens)

    @property
    def all_sent(self):
        """Whether all generated tokens have been sent."""
        return self.sent == self.end_offset

    def add(self, offset, tokens):
        """Append newly generated tokens; return False if tokens before `offset` are missing."""
        end = self.end_offset
        if offset > end:
            return False
        self.tokens.extend(tokens[end - offset :])
        return True

    def next_chunk(self):
        """Return the next `Chunk` to send within the window, or None.

        >>> send_buffer = SendBuffer("r", 1, window=2)
        >>> send_buffer.add(0, (1, 2, 3))
        True
        >>> send_buffer.next_chunk().tokens, send_buffer.next_chunk()
        ((1, 2), None)
        >>> send_buffer.credit(2)
        >>> send_buffer.next_chunk().offset
        2
        """
        limit = min(self.end_offset, self.consumed + self.window)
        if limit <= self.sent:
            return None
        start = self.sent
        tokens = tuple(self.tokens[start - self.base : limit - self.base])
        self.sent = limit
        return Chunk(self.request_id, self.attempt, start, tokens)

    def credit(self, offset):
        """Record that the receiver has consumed the tokens before `offset`."""
        self.consumed = max(self.consumed, min(offset, self.end_offset))

    def rewind(self, offset):
        """Resume sending from `offset` over a new link; return False if it is out of range."""
        if not self.base <= offset <= self.end_offset:
            return False
        self.sent = offset
        self.consumed = max(self.consumed, offset)
        return True
