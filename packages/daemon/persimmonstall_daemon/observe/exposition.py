"""Renders the metrics of one daemon in the Prometheus text format."""

import attrs
import prometheus_client
from prometheus_client import core

from .metric_names import METRICS, Kind

PREFIX = "persimmonstall_"
TAG = "tag"


def render(metrics):
    """Return all series of `PrometheusMetrics` as bytes."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(Collector(metrics))
    return prometheus_client.generate_latest(registry)


@attrs.frozen
class Collector:
    """Provides prometheus_client with the metric families that are in use."""

    metrics: object

    def collect(self):
        """Return the metric families, in the order of the table."""
        used = self.metrics.values.keys() | self.metrics.timings.keys()
        return [self.family(metric) for metric in METRICS if metric.name in used]

    def family(self, metric):
        """Return the family of one metric."""
        if metric.kind is Kind.TIMER:
            return self.histogram(metric)
        family_class = (
            core.CounterMetricFamily if metric.kind is Kind.COUNTER else core.GaugeMetricFamily
        )
        family = family_class(PREFIX + metric.name, metric.meaning, labels=label_names(metric))
        for tag, value in self.metrics.values[metric.name].items():
            family.add_metric(label_values(tag), value)
        return family

    def histogram(self, metric):
        """Return the family of one metric that measures durations."""
        name = PREFIX + metric.name + "_seconds"
        family = core.HistogramMetricFamily(name, metric.meaning, labels=label_names(metric))
        for tag, timings in self.metrics.timings[metric.name].items():
            family.add_metric(label_values(tag), timings.cumulative(), timings.total)
        return family


def label_names(metric):
    """Return the label names of a metric."""
    return (TAG,) if metric.tags else ()


def label_values(tag):
    """Return the label values of a series; most metrics have no label."""
    return (tag,) if tag else ()
