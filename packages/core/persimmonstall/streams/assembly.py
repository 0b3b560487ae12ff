"""Receiving side of an answer: tokens in order, without duplicates or gaps."""

from collections import Counter

import attrs

from ..failures import Failure, Reason

STEP = "relay"


@attrs.define
class Assembly:
    """Reassembles the answer to one request from the frames of one or more attempts.

    Only frames of the current attempt are accepted; others are dropped and counted by cause in
    `dropped`.  `tokens` holds the output received so far, in order.
    """

    request_id: str
    attempt: int = 0
    tokens: list = attrs.field(factory=list)
    dropped: Counter = attrs.field(factory=Counter)

    def begin(self, attempt):
        """Switch to `attempt`, which resumes after the tokens already received."""
        self.attempt = attempt

    def is_current(self, frame):
        """Return whether `frame` belongs to the current attempt; count it as dropped if not."""
        if frame.request_id != self.request_id:
            self.dropped["other_request"] += 1
            return False
        if frame.attempt != self.attempt:
            self.dropped["other_attempt"] += 1
            return False
        return True

    def accept(self, chunk):
        """Return the new tokens of a `Chunk`, or a `Failure` if tokens before it are missing.

        >>> from ..messages.requests import Chunk
        >>> assembly = Assembly("r", 1)
        >>> assembly.accept(Chunk("r", 1, 0, (5, 6)))
        (5, 6)
        >>> assembly.accept(Chunk("r", 1, 1, (6, 7)))
        (7,)
        >>> assembly.accept(Chunk("r", 1, 9, (8,))).detail
        'expected offset 3, got 9'
        """
        if not self.is_current(chunk):
            return ()
        received = len(self.tokens)
        if chunk.offset > received:
            self.dropped["gap"] += 1
            detail = f"expected offset {received}, got {chunk.offset}"
            return Failure(Reason.AMBIGUOUS, STEP, detail=detail)
        new_tokens = tuple(chunk.tokens[received - chunk.offset :])
        if len(new_tokens) < len(chunk.tokens):
            self.dropped["repeated"] += 1
        self.tokens.extend(new_tokens)
        return new_tokens

    def finish(self, end):
        """Return whether an `End` completes the answer; a `Failure` if its token count differs.

        False means that the `End` belongs to another attempt or request.

        >>> from ..messages.requests import End
        >>> Assembly("r", 1).finish(End("r", 1, 4, "stop")).detail
        'end at 4 tokens, have 0'
        """
        if not self.is_current(end):
            return False
        if end.count != len(self.tokens):
            self.dropped["truncated"] += 1
            detail = f"end at {end.count} tokens, have {len(self.tokens)}"
            return Failure(Reason.AMBIGUOUS, STEP, detail=detail)
        return True
