"""Metrics of one daemon for Prometheus to scrape, under the names in `metric_names`.

prometheus_client is imported at the first scrape, so that a daemon that starts after a power
loss serves its first callers sooner.
"""

import asyncio
import bisect

import attrs

from .metric_names import Kind, check_metric

BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0)
"""Upper bounds of the latency histograms, in seconds."""


@attrs.define
class Timings:
    """Histogram of durations: counts by bucket, the last one unbounded, and the sum in seconds."""

    counts: list = attrs.field(factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def add(self, seconds):
        """Add one duration.

        >>> timings = Timings()
        >>> timings.add(0.005)
        >>> timings.add(99.0)
        >>> timings.cumulative()[0], timings.cumulative()[-2:]
        (('0.005', 1), [('15.0', 1), ('+Inf', 2)])
        """
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative(self):
        """Return (upper bound, cumulative count) pairs, as the text format requires."""
        bounds = [str(bound) for bound in BUCKETS] + ["+Inf"]
        pairs = []
        cumulative_count = 0
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative_count += count
            pairs.append((bound, cumulative_count))
        return pairs


class PrometheusMetrics:
    """Counters, gauges and latency histograms, with the same interface as `metrics.Metrics`.

    `values` holds counters and gauges, `timings` holds durations, each by name and then by tag.
    """

    def __init__(self):
        self.values = {}
        self.timings = {}

    def count(self, name, amount=1, tag=""):
        """Add `amount` to a counter."""
        check_metric(name, Kind.COUNTER, tag)
        values = self.values.setdefault(name, {})
        values[tag] = values.get(tag, 0) + amount

    def gauge(self, name, value, tag=""):
        """Set a gauge."""
        check_metric(name, Kind.GAUGE, tag)
        self.values.setdefault(name, {})[tag] = value

    def timing(self, name, seconds, tag=""):
        """Record one duration in seconds."""
        check_metric(name, Kind.TIMER, tag)
        by_tag = self.timings.setdefault(name, {})
        if tag not in by_tag:
            by_tag[tag] = Timings()
        by_tag[tag].add(seconds)

    def violation(self, name, detail=""):
        """Count a violated invariant; used as `Invariants(on_violation=...)`."""
        self.count("invariant_violations", tag=name)

    def text(self):
        """Return all series in the Prometheus text format, as bytes."""
        from .exposition import render

        return render(self)

    async def run(self):
        """Wait until cancelled: Prometheus scrapes the metrics, nothing is sent."""
        await asyncio.Event().wait()
