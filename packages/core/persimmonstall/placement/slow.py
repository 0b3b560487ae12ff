"""Detection of slow endpoints: alive, but with late first tokens."""

import attrs

WEIGHT = 0.2
"""Weight of the newest observation in the moving average of the ratio."""

EJECT_RATIO = 5.0
"""Ratio above which an endpoint is ejected and gets only probes."""

REINSTATE_RATIO = 2.0
"""Ratio below which an ejected endpoint is used normally again."""

MAX_RATIO = 20.0
"""Upper bound of the ratio, so that an endpoint recovers after a bounded number of probes."""

PROBE_SECONDS = 2.0
"""Time between two probes of an ejected endpoint."""

FLOOR_SECONDS = 0.1
"""Time added to both observed and expected times, so that jitter of short ones is ignored."""


def slowness_ratio(seconds, expected):
    """Return the ratio of an observed time, in seconds, to the expected one.

    >>> slowness_ratio(0.9, 0.4)
    2.0
    """
    return (seconds + FLOOR_SECONDS) / (expected + FLOOR_SECONDS)


@attrs.define
class Slowness:
    """Moving average of the ratio of observed to expected time to first token.

    >>> slowness = Slowness()
    >>> for _ in range(20):
    ...     slowness.observe(2.0, 0.1, 0.0)
    >>> slowness.ejected
    True
    """

    ratio: float = 1.0
    ejected: bool = False
    probe_at: float = 0.0

    def observe(self, observed, expected, now):
        """Record a first token that arrived `observed` seconds after its submission."""
        sample = min(MAX_RATIO, max(0.5, slowness_ratio(observed, expected)))
        self.ratio += WEIGHT * (sample - self.ratio)
        self.update_ejection(now)

    def record_overdue(self, waited, expected, now):
        """Record that no first token came within `waited` seconds, if that raises the ratio."""
        if slowness_ratio(waited, expected) > max(EJECT_RATIO, self.ratio):
            self.observe(waited, expected, now)

    def update_ejection(self, now):
        """Eject the endpoint or reinstate it, according to the ratio."""
        if not self.ejected and self.ratio > EJECT_RATIO:
            self.ejected = True
            self.probe_at = now + PROBE_SECONDS
        elif self.ejected and self.ratio < REINSTATE_RATIO:
            self.ejected = False

    def may_use(self, now):
        """Return whether the endpoint is not ejected or is due for a probe."""
        return not self.ejected or now >= self.probe_at

    def record_use(self, now):
        """Record that work was sent to the endpoint; delays the next probe."""
        if self.ejected:
            self.probe_at = now + PROBE_SECONDS
