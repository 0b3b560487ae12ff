"""Usual times to first token, compared with expected ones, of each length class."""

from .slow import MAX_RATIO, slowness_ratio

MEAN_RATIO_WEIGHT = 0.02
"""Weight of the newest attempt in the average ratio of observed to expected time to first token
of its length class."""


class UsualTimes:
    """Average ratio of observed to expected time to first token, by length class.

    It is taken over all endpoints: waits that exceed their estimates everywhere do not make a
    single endpoint slow.
    """

    def __init__(self):
        self.mean_ratios = {}

    def observe(self, attempt, seconds):
        """Record that the first token of an attempt took `seconds`."""
        ratio = slowness_ratio(seconds, attempt.expected)
        mean_ratio = self.mean_ratios.get(attempt.length_class, 1.0)
        mean_ratio += MEAN_RATIO_WEIGHT * (min(MAX_RATIO, ratio) - mean_ratio)
        self.mean_ratios[attempt.length_class] = mean_ratio

    def seconds(self, attempt):
        """Return the time to first token, in seconds, that is usual for the attempt's class."""
        return max(1.0, self.mean_ratios.get(attempt.length_class, 1.0)) * attempt.expected
