"""Metrics of one daemon as text that a collector fetches, by the names in `names.TABLE`."""

import asyncio

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .names import ENTRIES, Kind, check_use

PREFIX = "persimmonstall_"
TAG = "tag"

BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0)
"""Upper bounds of the latency histograms, in seconds."""

MAKERS = {Kind.COUNTER: Counter, Kind.GAUGE: Gauge}


class PrometheusMetrics:
    """Counters, gauges and latency histograms; the same calls as `metrics.Metrics`."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.made = {}

    def series(self, name, kind, tag):
        """Return the series of a name and tag, made at its first use."""
        check_use(name, kind, tag)
        made = self.made.get(name)
        if made is None:
            made = self.made[name] = self.make(name)
        return made.labels(tag) if tag else made

    def make(self, name):
        """Register a name of the table."""
        entry = next(entry for entry in ENTRIES if entry.name == name)
        labels = (TAG,) if entry.tags else ()
        if entry.kind is Kind.TIMER:
            return Histogram(
                PREFIX + name + "_seconds",
                entry.meaning,
                labels,
                buckets=BUCKETS,
                registry=self.registry,
            )
        return MAKERS[entry.kind](PREFIX + name, entry.meaning, labels, registry=self.registry)

    def count(self, name, amount=1, tag=""):
        """Add `amount` to a counter."""
        self.series(name, Kind.COUNTER, tag).inc(amount)

    def gauge(self, name, value, tag=""):
        """Set a gauge."""
        self.series(name, Kind.GAUGE, tag).set(value)

    def timing(self, name, seconds, tag=""):
        """Record one duration in seconds."""
        self.series(name, Kind.TIMER, tag).observe(seconds)

    def violation(self, name, detail=""):
        """Count a violated invariant; fits `Invariants(on_violation=...)`."""
        self.count("invariant_violations", tag=name)

    def text(self):
        """Return all series in the collector's text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)

    async def run(self):
        """Nothing is sent: the collector fetches.  Waits until cancelled."""
        await asyncio.Event().wait()
