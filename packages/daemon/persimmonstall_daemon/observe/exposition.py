"""Writes the metrics of one daemon in the collector's text format."""

import attrs
import prometheus_client
from prometheus_client import core

from .metric_names import ENTRIES, Kind

PREFIX = "persimmonstall_"
TAG = "tag"


def render(metrics):
    """Return all series of `PrometheusMetrics` as bytes."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(Collector(metrics))
    return prometheus_client.generate_latest(registry)


@attrs.frozen
class Collector:
    """Hands the library the families of series that are in use."""

    metrics: object

    def collect(self):
        """Return the families, in the order of the table."""
        used = self.metrics.values.keys() | self.metrics.timings.keys()
        return [self.family(entry) for entry in ENTRIES if entry.name in used]

    def family(self, entry):
        """Return the series of one name."""
        if entry.kind is Kind.TIMER:
            return self.histogram(entry)
        maker = core.CounterMetricFamily if entry.kind is Kind.COUNTER else core.GaugeMetricFamily
        family = maker(PREFIX + entry.name, entry.meaning, labels=label_names(entry))
        for tag, value in self.metrics.values[entry.name].items():
            family.add_metric(label_values(tag), value)
        return family

    def histogram(self, entry):
        """Return the series of one name that measures durations."""
        name = PREFIX + entry.name + "_seconds"
        family = core.HistogramMetricFamily(name, entry.meaning, labels=label_names(entry))
        for tag, timings in self.metrics.timings[entry.name].items():
            family.add_metric(label_values(tag), timings.cumulative(), timings.total)
        return family


def label_names(entry):
    """Return the names of an entry's labels."""
    return (TAG,) if entry.tags else ()


def label_values(tag):
    """Return the values of a series' labels; most names have none."""
    return (tag,) if tag else ()
