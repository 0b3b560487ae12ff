"""Decoding of what other writers left: rows, datagrams and snapshots."""

import functools

from ..failures import Failure, Reason

MAX_DETAIL_CHARACTERS = 200
"""Longest text of an error that is kept; others may quote a whole record."""


def decoder(what, step):
    """Return a decorator for functions that decode what another writer left.

    Whatever such a function raises becomes a `Failure` in `step` that says that `what` is invalid,
    so that an odd item never ends the task that reads it.

    >>> @decoder("number", "decode")
    ... def decode(text):
    ...     return int(text, 3)
    >>> decode("12"), decode(7).detail
    (5, "invalid number: TypeError: int() can't convert non-string with explicit base")
    """

    def decorate(decode):
        @functools.wraps(decode)
        def decode_or_fail(*arguments):
            try:
                return decode(*arguments)
            except Exception as error:
                text = f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARACTERS]
                return Failure(Reason.BAD_REQUEST, step, detail=f"invalid {what}: {text}")

        return decode_or_fail

    return decorate
