"""What an entry keeps to report burn: counts by organisation, length class and objective."""

from .counts import BurnCounts
from .objectives import judge
from .report import row_of

FORGOTTEN = 0.05
"""Events left in the longest window below which counts are dropped."""


class BurnRecorder:
    """Bounded by the organisations active within a few of the longest windows."""

    def __init__(self, settings):
        self.settings = settings
        self.counts = {}

    def record(self, served, now):
        """Count one `Served` request."""
        for objective, met in judge(served, self.settings.objectives):
            key = served.organisation, served.length_class, objective
            counts = self.counts.get(key)
            if counts is None:
                counts = self.counts[key] = BurnCounts(self.settings.observe.burn_window, now)
            counts.add(met, now)

    def rows(self, now):
        """Return the `BurnRow`s of everything kept, by name."""
        objectives = self.settings.objectives
        return [
            row_of(*key, counts, objectives, now) for key, counts in sorted(self.counts.items())
        ]

    def evict(self, now):
        """Drop counts that have decayed to nothing."""
        old = [
            key for key, counts in self.counts.items() if counts.read(now)[-1].total < FORGOTTEN
        ]
        for key in old:
            del self.counts[key]
