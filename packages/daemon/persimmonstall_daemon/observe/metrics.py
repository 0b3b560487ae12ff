"""Metrics of one daemon, aggregated in memory and sent to statsd periodically.

Aggregation limits the cost of a metric to a dictionary update, and the traffic to one or a few
packets per interval, however many requests are served.
"""

import asyncio
from collections import Counter

import statsd

from .metric_names import Kind, check_metric

FLUSH_INTERVAL_SECONDS = 1.0
"""Seconds between flushes."""

TIMER_SAMPLES = 64
"""Samples of one timer kept per interval; later ones overwrite them in turn."""

PACKET_BYTES = 1432
"""Largest datagram that is not fragmented on an Ethernet path."""

MILLISECONDS = 1000.0


class Metrics:
    """Counters, gauges and timers under the names in `metric_names.METRICS_BY_NAME`.

    Without a statsd server in the settings everything is still counted, but `flush` sends
    nothing.
    """

    def __init__(self, settings):
        self.client = make_client(settings)
        self.counters = Counter()
        self.gauges = {}
        self.timers = {}
        self.sample_counts = Counter()
        self.totals = Counter()

    def count(self, name, amount=1, tag=""):
        """Add `amount` to a counter."""
        key = metric_key(name, Kind.COUNTER, tag)
        self.counters[key] += amount
        self.totals[key] += amount

    def gauge(self, name, value, tag=""):
        """Set a gauge."""
        self.gauges[metric_key(name, Kind.GAUGE, tag)] = value

    def timing(self, name, seconds, tag=""):
        """Record one duration in seconds."""
        key = metric_key(name, Kind.TIMER, tag)
        samples = self.timers.setdefault(key, [])
        if len(samples) < TIMER_SAMPLES:
            samples.append(seconds)
        else:
            samples[self.sample_counts[key] % TIMER_SAMPLES] = seconds
        self.sample_counts[key] += 1

    def violation(self, name, detail=""):
        """Count a violated invariant; used as `Invariants(on_violation=...)`."""
        self.count("invariant_violations", tag=name)

    def flush(self):
        """Send what was collected since the last flush and start over; gauges are kept."""
        counters, self.counters = self.counters, Counter()
        timers, self.timers = self.timers, {}
        self.sample_counts = Counter()
        if self.client is None:
            return
        with self.client.pipeline() as pipe:
            for key, amount in counters.items():
                pipe.incr(key, amount)
            for key, value in self.gauges.items():
                pipe.gauge(key, value)
            for key, samples in timers.items():
                for seconds in samples:
                    pipe.timing(key, seconds * MILLISECONDS)

    async def run(self):
        """Flush at intervals until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()


def make_client(settings):
    """Return the client of the statsd server in the settings, None if there is none."""
    if not settings.observe.statsd:
        return None
    host, _, port = settings.observe.statsd.rpartition(":")
    prefix = f"persimmonstall.{settings.daemon.role}"
    return statsd.StatsClient(host, int(port), prefix=prefix, maxudpsize=PACKET_BYTES)


def metric_key(name, kind, tag):
    """Return the name as sent to statsd; raise KeyError if the table does not list it."""
    check_metric(name, kind, tag)
    return f"{name}.{tag}" if tag else name
