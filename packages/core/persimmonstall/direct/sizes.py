"""Estimates the weight of a call and its memory need from its numbers of tokens."""

import math

WEIGHT_TOKENS = 16_000.0
"""Tokens of a call of weight 1, a typical short one; output tokens count `OUTPUT_WEIGHT` times."""

OUTPUT_WEIGHT = 10
MIN_WEIGHT = 0.3

OUTPUT_ESTIMATE_MARGIN = 1.5
"""Factor on the caller's estimate of the output, which is often too low."""


def call_weight(call):
    """Return the weight of a call: how much it counts when latencies of calls are traded off.

    >>> from .messages import Call
    >>> small = Call("c", "GET", "/", "h", (), b"", 0.0, 1.0)
    >>> call_weight(small)
    0.3
    """
    tokens = call.prompt_tokens + OUTPUT_WEIGHT * call.max_output_tokens
    return max(MIN_WEIGHT, tokens / WEIGHT_TOKENS)


def expected_memory(call):
    """Return the tokens of engine memory that a call is expected to need.

    >>> from .messages import Call
    >>> c = Call("c", "GET", "/", "h", (), b"", 0.0, 1.0, prompt_tokens=100, max_output_tokens=900)
    >>> expected_memory(c)
    1000
    """
    estimated = math.ceil(call.output_estimate * OUTPUT_ESTIMATE_MARGIN) or call.max_output_tokens
    return call.prompt_tokens + min(call.max_output_tokens, estimated)
