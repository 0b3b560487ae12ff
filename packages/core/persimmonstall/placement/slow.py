"""Detection of slow endpoints: alive, but later than expected."""

import attrs

WEIGHT = 0.2
"""Weight of the newest observation in an endpoint's slowness."""

SLOW = 5.0
"""Slowness from which an endpoint gets only probes."""

RECOVERED = 2.0
"""Slowness below which a slow endpoint is used as before."""

MOST = 20.0
"""Largest slowness, so that an endpoint recovers after a bounded number of probes."""

PROBE_SECONDS = 2.0
"""Time between two probes of a slow endpoint."""

FLOOR_SECONDS = 0.1
"""Time added to both observed and expected, so that jitter of short answers is no slowness."""


@attrs.define
class Slowness:
    """Ratio of observed to expected time to first token, smoothed.

    >>> slowness = Slowness()
    >>> for _ in range(20):
    ...     slowness.observe(2.0, 0.1, 0.0)
    >>> slowness.eased
    True
    """

    ratio: float = 1.0
    eased: bool = False
    probe_at: float = 0.0

    def observe(self, observed, expected, now):
        """Take in one first token that came `observed` seconds after its submission."""
        sample = (observed + FLOOR_SECONDS) / (expected + FLOOR_SECONDS)
        sample = min(MOST, max(0.5, sample))
        self.ratio += WEIGHT * (sample - self.ratio)
        self.judge(now)

    def overdue(self, waited, expected, now):
        """Take in that a first token is still missing after `waited` seconds."""
        if (waited + FLOOR_SECONDS) / (expected + FLOOR_SECONDS) > max(SLOW, self.ratio):
            self.observe(waited, expected, now)

    def judge(self, now):
        """Ease the endpoint out, or take it back."""
        if not self.eased and self.ratio > SLOW:
            self.eased = True
            self.probe_at = now + PROBE_SECONDS
        elif self.eased and self.ratio < RECOVERED:
            self.eased = False

    def may_use(self, now):
        """Return whether work may go there: it is not eased out, or a probe is due."""
        return not self.eased or now >= self.probe_at

    def used(self, now):
        """Note that work was given to the endpoint."""
        if self.eased:
            self.probe_at = now + PROBE_SECONDS
