"""What a call is worth and how much memory it needs, by what its caller asks for."""

import math

WORTH_TOKENS = 16_000.0
"""Tokens, output counted tenfold, of a call that is worth 1: a usual short one."""

OUTPUT_WEIGHT = 10
MIN_WORTH = 0.3

HINT_MARGIN = 1.5
"""How many times the caller's estimate of the output is reserved: it is often too low."""


def worth_of(call):
    """Return the worth of a call.

    >>> from .messages import Call
    >>> small = Call("c", "GET", "/", "h", (), b"", 0.0, 1.0)
    >>> worth_of(small)
    0.3
    """
    tokens = call.prompt_tokens + OUTPUT_WEIGHT * call.max_output_tokens
    return max(MIN_WORTH, tokens / WORTH_TOKENS)


def memory_of(call):
    """Return the tokens of engine memory that a call is expected to need.

    >>> from .messages import Call
    >>> call = Call("c", "GET", "/", "h", (), b"", 0.0, 1.0, prompt_tokens=100, max_output_tokens=900)
    >>> memory_of(call)
    1000
    """
    hinted = math.ceil(call.output_estimate * HINT_MARGIN) or call.max_output_tokens
    return call.prompt_tokens + min(call.max_output_tokens, hinted)
