"""Metrics of one daemon that a collector fetches, by the names in `names.TABLE`.

The library that writes them as text is loaded when they are first fetched: a daemon that starts
after a power loss serves its first callers earlier.
"""

import asyncio
import bisect

import attrs

from .metric_names import Kind, check_use

BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0)
"""Upper bounds of the latency histograms, in seconds."""


@attrs.define
class Timings:
    """Durations by bucket, the last one without a bound, and their sum in seconds."""

    counts: list = attrs.field(factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def add(self, seconds):
        """Count one duration.

        >>> timings = Timings()
        >>> timings.add(0.005)
        >>> timings.add(99.0)
        >>> timings.cumulative()[0], timings.cumulative()[-2:]
        (('0.005', 1), [('15.0', 1), ('+Inf', 2)])
        """
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative(self):
        """Return (upper bound, durations up to it) pairs as the text form wants them."""
        bounds = [str(bound) for bound in BUCKETS] + ["+Inf"]
        sums = []
        below = 0
        for bound, count in zip(bounds, self.counts, strict=True):
            below += count
            sums.append((bound, below))
        return sums


class PrometheusMetrics:
    """Counters, gauges and latency histograms; the same calls as `metrics.Metrics`.

    `values` holds numbers and `timings` durations, by name and then by tag.
    """

    def __init__(self):
        self.values = {}
        self.timings = {}

    def count(self, name, amount=1, tag=""):
        """Add `amount` to a counter."""
        check_use(name, Kind.COUNTER, tag)
        values = self.values.setdefault(name, {})
        values[tag] = values.get(tag, 0) + amount

    def gauge(self, name, value, tag=""):
        """Set a gauge."""
        check_use(name, Kind.GAUGE, tag)
        self.values.setdefault(name, {})[tag] = value

    def timing(self, name, seconds, tag=""):
        """Record one duration in seconds."""
        check_use(name, Kind.TIMER, tag)
        by_tag = self.timings.setdefault(name, {})
        if tag not in by_tag:
            by_tag[tag] = Timings()
        by_tag[tag].add(seconds)

    def violation(self, name, detail=""):
        """Count a violated invariant; fits `Invariants(on_violation=...)`."""
        self.count("invariant_violations", tag=name)

    def text(self):
        """Return all series in the collector's text format, as bytes."""
        from .exposition import render

        return render(self)

    async def run(self):
        """Nothing is sent: the collector fetches.  Waits until cancelled."""
        await asyncio.Event().wait()
