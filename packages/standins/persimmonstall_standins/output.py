"""Output of the stand-in model, a pure function of model, adapter and prompt.

Tests can thus compare a stream that moved between engines with an undisturbed one.
"""

import math
from random import Random

import xxhash

MEDIAN_LENGTH = 220
"""Median natural length of an answer, in tokens."""

LENGTH_SIGMA = 0.5
"""Standard deviation of the logarithm of the natural length."""

MIN_LENGTH = 8
MAX_LENGTH = 4_000
"""Bounds of the natural length, in tokens."""

STRIDE = 0x9E3779B97F4A7C15
MULTIPLIER = 0xBF58476D1CE4E5B9
MASK = (1 << 64) - 1
TOKEN_SHIFT = 47


def seed_of(model, adapter, prompt):
    """Return the 64-bit seed of the answer to a prompt."""
    digest = xxhash.xxh3_64(prompt)
    digest.update(f"\0{model}\0{adapter}".encode())
    return digest.intdigest()


def token_at(seed, offset):
    """Return the token at `offset` of the answer, a number below 131,072.

    >>> token_at(7, 0) == token_at(7, 0) < 131_072
    True
    """
    mixed = ((seed + offset * STRIDE) & MASK) * MULTIPLIER & MASK
    return (mixed ^ (mixed >> 31)) * MULTIPLIER % (1 << 64) >> TOKEN_SHIFT


def natural_length(seed):
    """Return the number of tokens after which the answer stops unless `max_tokens` is lower."""
    drawn = Random(seed).lognormvariate(math.log(MEDIAN_LENGTH), LENGTH_SIGMA)
    return max(MIN_LENGTH, min(MAX_LENGTH, round(drawn)))


def expected_output(model, prompt, max_tokens, adapter=""):
    """Return the tokens of the complete answer to `prompt`, as a tuple."""
    seed = seed_of(model, adapter, prompt)
    return tuple(token_at(seed, k) for k in range(min(max_tokens, natural_length(seed))))
