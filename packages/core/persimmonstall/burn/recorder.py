"""What an entry keeps to report burn: counts by organisation and length class."""

from .counts import BurnCounts
from .objectives import ORDER, Objective, judge
from .report import row_of

FORGOTTEN = 0.05
"""Events left in the longest window below which counts are dropped."""

EVICT_SECONDS = 60.0
"""Time between looks at all counts, which cost as much as there are."""


class BurnRecorder:
    """Bounded by the organisations active within a few of the longest windows."""

    def __init__(self, settings):
        self.settings = settings
        self.counts = {}
        self.evicted = 0.0

    def record(self, served, now):
        """Count one `RequestResult` request."""
        key = served.organisation, served.length_class
        counts = self.counts.get(key)
        if counts is None:
            shortest = self.settings.observe.burn_window
            counts = self.counts[key] = BurnCounts(shortest, len(ORDER), now)
        for objective, met in judge(served, self.settings.objectives):
            counts.add(ORDER.index(objective), met, now)

    def rows(self, now):
        """Return the `BurnRow`s of everything kept, by name."""
        objectives = self.settings.objectives
        return [
            row_of(*key, objective, counts, objectives, now)
            for key, counts in sorted(self.counts.items())
            for objective in ORDER
            if counts.read(ORDER.index(objective), now)[-1].total
        ]

    def evict(self, now):
        """Drop counts that have decayed to nothing; does nothing most times it is called."""
        if now - self.evicted < EVICT_SECONDS:
            return
        self.evicted = now
        served = ORDER.index(Objective.SERVED)
        old = [
            key
            for key, counts in self.counts.items()
            if counts.read(served, now)[-1].total < FORGOTTEN
        ]
        for key in old:
            del self.counts[key]
