"""Prediction of the output tokens that a request will use, from past usage.

The output limits that callers set are far above what they use.  Each pair of organisation and
model therefore has a histogram of used tokens, with exponential buckets and decaying counts.
State is bounded: the least recently used pairs are evicted and fall back to their model's
histogram.
"""

import math
from array import array
from collections import OrderedDict

BUCKET_RATIO = 1.3
"""Ratio between the upper bounds of adjacent buckets."""

BUCKETS = 48
"""Number of buckets; the last one ends near 300,000 tokens."""

DECAY_COUNT = 512
"""Total count at which all counts of a histogram are halved."""

MIN_COUNT = 8
"""Smallest total count at which a histogram is used."""

MAX_PAIRS = 8192
"""Largest number of pairs of organisation and model with a histogram."""

DEFAULT_OUTPUT_TOKENS = 256
"""Prediction without history; callers ask for far more than they use."""

EXPECTED_SHARE = 0.6
"""Mean usage as a share of the predicted quantile; times are estimated from the mean."""

QUANTILE = 0.9
"""Share of requests whose usage should not exceed the prediction."""

LOG_RATIO = math.log(BUCKET_RATIO)


def bucket_of(tokens):
    """Return the index of the bucket for `tokens`.

    >>> bucket_of(1), bucket_of(10**9) == BUCKETS - 1
    (0, True)
    """
    if tokens <= 1:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(tokens) / LOG_RATIO))


def largest_in_bucket(bucket):
    """Return the largest number of tokens that falls into `bucket`.

    >>> largest_in_bucket(bucket_of(100)) >= 100
    True
    """
    return math.ceil(BUCKET_RATIO**bucket)


class Histogram:
    """Histogram of used tokens with decaying counts."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts = array("H", bytes(2 * BUCKETS))
        self.total = 0

    def observe(self, tokens):
        """Count an answer of `tokens`."""
        self.counts[bucket_of(tokens)] += 1
        self.total += 1
        if self.total >= DECAY_COUNT:
            self.decay()

    def decay(self):
        """Halve all counts."""
        for bucket, count in enumerate(self.counts):
            self.counts[bucket] = count // 2
        self.total = sum(self.counts)

    def quantile(self, share):
        """Return the upper bound of the bucket that contains the quantile `share`."""
        needed = share * self.total
        seen = 0
        for bucket, count in enumerate(self.counts):
            seen += count
            if seen >= needed:
                return largest_in_bucket(bucket)
        return largest_in_bucket(BUCKETS - 1)


class OutputLengthPredictor:
    """Predicts the output tokens of a request from its organisation and model.

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

    def histogram(self, histograms, key):
        """Return the histogram of `key`, creating it and evicting the least recent if needed."""
        found = histograms.get(key)
        if found is None:
            found = histograms[key] = Histogram()
        histograms.move_to_end(key)
        while len(histograms) > self.max_pairs:
            histograms.popitem(last=False)
        return found

    def predict(self, organisation, model, requested):
        """Return the predicted output tokens of a request with an output limit of `requested`.

        It follows from earlier answers of the model to the organisation.  If these are too few,
        the model's answers to all organisations are used, and if these are too few as well,
        `DEFAULT_OUTPUT_TOKENS`.
        """
        pair = (organisation, model)
        for histograms, key in ((self.pairs, pair), (self.models, model)):
            found = histograms.get(key)
            if found is not None and found.total >= MIN_COUNT:
                histograms.move_to_end(key)
                return min(requested, found.quantile(self.share))
        return min(requested, DEFAULT_OUTPUT_TOKENS)
