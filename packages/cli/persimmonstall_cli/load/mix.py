"""Mixes of prompt lengths: weighted ranges, log-uniform within each range."""

import math

import attrs

TOKEN_SUFFIXES = {"k": 1_000, "m": 1_000_000}

DEFAULT_MIX = "1k-4k:0.78,4k-32k:0.16,32k-100k:0.04,100k-1m:0.02"
"""2 % of the prompts have more than 100,000 tokens."""


@attrs.frozen
class LengthRange:
    """Prompt lengths from `low` to `high` tokens, drawn with the relative `weight`."""

    low: int
    high: int
    weight: float


def parse_count(text):
    """Return the number of tokens in `text`; raises ValueError if malformed.

    >>> parse_count("4k"), parse_count("1m"), parse_count("250")
    (4000, 1000000, 250)
    """
    text = text.strip().lower()
    factor = TOKEN_SUFFIXES.get(text[-1:], 1)
    value = int(float(text[:-1] if factor > 1 else text) * factor)
    if value < 1:
        raise ValueError(text)
    return value


def parse_mix(text):
    """Return the `LengthRange`s of "LOW-HIGH:WEIGHT,..."; raises ValueError if malformed.

    >>> parse_mix("1k-4k:3,100k:1")[1]
    LengthRange(low=100000, high=100000, weight=1.0)
    """
    ranges = []
    for part in text.split(","):
        lengths, _, weight = part.partition(":")
        low, _, high = lengths.partition("-")
        length_range = LengthRange(parse_count(low), parse_count(high or low), float(weight or 1))
        if length_range.low > length_range.high or length_range.weight <= 0:
            raise ValueError(part)
        ranges.append(length_range)
    return tuple(ranges)


def draw_length(ranges, random):
    """Return a random prompt length in tokens."""
    chosen = random.choices(ranges, [one.weight for one in ranges])[0]
    log_ratio = math.log(chosen.high / chosen.low)
    return round(chosen.low * math.exp(log_ratio * random.random()))
