"""Prediction of the output tokens that a request will use, from what was used before.

Callers ask for far more output than they use.  Each pair of organisation and model keeps a
histogram of used tokens in buckets of constant ratio; old observations fade.  State is
bounded: the least recently used pairs are evicted, and fall back to their model's histogram.
"""

import math
from array import array
from collections import OrderedDict

BUCKET_RATIO = 1.3
"""Ratio between the upper bounds of neighbouring buckets."""

BUCKETS = 48
"""Number of buckets; the last one ends near 300,000 tokens."""

FADE_COUNT = 512
"""Number of observations at which all counts are halved."""

MIN_COUNT = 8
"""Observations needed before a histogram is used."""

MAX_PAIRS = 8192
"""Pairs of organisation and model that are remembered."""

DEFAULT_TOKENS = 256
"""Prediction before anything is known, as callers ask for far more than they use."""

EXPECTED_SHARE = 0.6
"""Mean use as a share of the predicted quantile; times are estimated from the mean."""

QUANTILE = 0.9
"""Share of requests whose use should be at most the prediction."""

LOG_RATIO = math.log(BUCKET_RATIO)


def bucket_of(tokens):
    """Return the number of the bucket that holds `tokens`.

    >>> bucket_of(1), bucket_of(10**9) == BUCKETS - 1
    (0, True)
    """
    if tokens <= 1:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(tokens) / LOG_RATIO))


def upper_bound(bucket):
    """Return the largest number of tokens in `bucket`.

    >>> upper_bound(bucket_of(100)) >= 100
    True
    """
    return math.ceil(BUCKET_RATIO**bucket)


class Histogram:
    """Fading counts of used tokens."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts = array("H", bytes(2 * BUCKETS))
        self.total = 0

    def observe(self, tokens):
        """Count one answer of `tokens`."""
        self.counts[bucket_of(tokens)] += 1
        self.total += 1
        if self.total >= FADE_COUNT:
            self.fade()

    def fade(self):
        """Halve all counts."""
        for bucket, count in enumerate(self.counts):
            self.counts[bucket] = count // 2
        self.total = sum(self.counts)

    def quantile(self, share):
        """Return the upper bound of the bucket that holds the quantile `share`."""
        needed = share * self.total
        seen = 0
        for bucket, count in enumerate(self.counts):
            seen += count
            if seen >= needed:
                return upper_bound(bucket)
        return upper_bound(BUCKETS - 1)


class OutputLengthPredictor:
    """Predicts used output tokens per organisation and model.

    >>> predictor = OutputLengthPredictor()
    >>> for _ in range(20):
    ...     predictor.observe("records", "m", 200)
    >>> predictor.predict("records", "m", 16_000) < 300
    True
    >>> predictor.predict("records", "m", 100)
    100
    """

    def __init__(self, quantile=QUANTILE, max_pairs=MAX_PAIRS):
        self.share = quantile
        self.max_pairs = max_pairs
        self.pairs = OrderedDict()
        self.models = OrderedDict()

    def observe(self, organisation, model, used):
        """Record that a finished answer used `used` output tokens."""
        self.histogram(self.pairs, (organisation, model)).observe(used)
        self.histogram(self.models, model).observe(used)

    def histogram(self, kept, key):
        """Return the histogram of `key`, made if new; the least recent one is evicted."""
        found = kept.get(key)
        if found is None:
            found = kept[key] = Histogram()
        kept.move_to_end(key)
        while len(kept) > self.max_pairs:
            kept.popitem(last=False)
        return found

    def predict(self, organisation, model, asked):
        """Return the tokens to reserve for a request that asks for `asked`.

        Without enough history of the pair the model's history is used, then `DEFAULT_TOKENS`.
        """
        pair = (organisation, model)
        for kept, key in ((self.pairs, pair), (self.models, model)):
            found = kept.get(key)
            if found is not None and found.total >= MIN_COUNT:
                kept.move_to_end(key)
                return min(asked, found.quantile(self.share))
        return min(asked, DEFAULT_TOKENS)
