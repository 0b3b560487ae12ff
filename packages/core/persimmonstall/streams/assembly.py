"""The receiving side of an answer: tokens in order, none twice, none lost."""

from collections import Counter

import attrs

from ..failures import Failure, Reason

STEP = "relay"


@attrs.define
class Assembly:
    """Collects one request's answer over one or more attempts.

    Only frames of the current attempt of this request are taken; any other is dropped and
    counted by its cause.  `tokens` holds what the caller is given, in order.
    """

    request_id: str
    attempt: int = 0
    tokens: list = attrs.field(factory=list)
    dropped: Counter = attrs.field(factory=Counter)

    def begin(self, attempt):
        """Start `attempt`, which resumes from the tokens already collected."""
        self.attempt = attempt

    def is_current(self, frame):
        """Whether `frame` belongs to the current attempt of this request."""
        if frame.request_id != self.request_id:
            self.dropped["other_request"] += 1
            return False
        if frame.attempt != self.attempt:
            self.dropped["other_attempt"] += 1
            return False
        return True

    def accept(self, chunk):
        """Return the new tokens of a `Chunk`: a tuple, or a `Failure` when some are missing.

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
        have = len(self.tokens)
        if chunk.offset > have:
            self.dropped["gap"] += 1
            detail = f"expected offset {have}, got {chunk.offset}"
            return Failure(Reason.AMBIGUOUS, STEP, detail=detail)
        fresh = tuple(chunk.tokens[have - chunk.offset :])
        if len(fresh) < len(chunk.tokens):
            self.dropped["repeated"] += 1
        self.tokens.extend(fresh)
        return fresh

    def finish(self, end):
        """Whether an `End` completes the answer: True, False (not ours) or a `Failure`.

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
