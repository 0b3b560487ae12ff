"""What a call is worth, by the work that its caller asks for."""

WORTH_TOKENS = 16_000.0
"""Tokens, output counted tenfold, of a call that is worth 1: a usual short one."""

OUTPUT_WEIGHT = 10
LEAST_WORTH = 0.3


def worth_of(call):
    """Return the worth of a call.

    >>> from .messages import Call
    >>> small = Call("c", "GET", "/", "h", (), b"", 0.0, 1.0)
    >>> worth_of(small)
    0.3
    """
    tokens = call.prompt_tokens + OUTPUT_WEIGHT * call.most_tokens
    return max(LEAST_WORTH, tokens / WORTH_TOKENS)
