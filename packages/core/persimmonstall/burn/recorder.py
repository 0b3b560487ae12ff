"""Burn counts that an entry daemon keeps, by organisation and length class."""

from .counts import BurnCounts
from .objectives import ORDER, Objective, evaluate
from .report import row_of

MIN_EVENTS_KEPT = 0.05
"""Counts with fewer events than this left in the longest window are dropped."""

EVICTION_INTERVAL_SECONDS = 60.0
"""Interval between searches for counts to drop; each search reads all counts."""


class BurnRecorder:
    """Burn counts of one entry daemon.

    Counts of an organisation without requests are dropped after a few lengths of the longest
    window, so that memory grows only with the number of recently active organisations.
    """

    def __init__(self, settings):
        self.settings = settings
        self.counts = {}
        self.evicted_at = 0.0

    def record(self, result, now):
        """Count the `RequestResult` of one request."""
        key = result.organisation, result.length_class
        counts = self.counts.get(key)
        if counts is None:
            shortest = self.settings.observe.burn_window
            counts = self.counts[key] = BurnCounts(shortest, len(ORDER), now)
        for objective, met in evaluate(result, self.settings.objectives):
            counts.add(ORDER.index(objective), met, now)

    def rows(self, now):
        """Return the `BurnRow`s of all counts, sorted by organisation and length class."""
        objectives = self.settings.objectives
        return [
            row_of(*key, objective, counts, objectives, now)
            for key, counts in sorted(self.counts.items())
            for objective in ORDER
            if counts.read(ORDER.index(objective), now)[-1].total
        ]

    def evict(self, now):
        """Drop counts that have decayed to almost nothing.

        Most calls do nothing, see `EVICTION_INTERVAL_SECONDS`.
        """
        if now - self.evicted_at < EVICTION_INTERVAL_SECONDS:
            return
        self.evicted_at = now
        served_index = ORDER.index(Objective.SERVED)
        expired = [
            key
            for key, counts in self.counts.items()
            if counts.read(served_index, now)[-1].total < MIN_EVENTS_KEPT
        ]
        for key in expired:
            del self.counts[key]
