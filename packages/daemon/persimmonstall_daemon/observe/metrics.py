"""Metrics of one daemon, added up in memory and written to statsd at intervals.

Adding up keeps the cost of a metric to a dictionary update and the traffic to one packet or a
few per interval, however many requests are served.
"""

import asyncio
from collections import Counter

import statsd

from .metric_names import Kind, check_use

FLUSH_INTERVAL = 1.0
"""Seconds between writes."""

TIMER_SAMPLES = 64
"""Samples of one timer kept per interval; later ones replace kept ones in turn."""

PACKET_BYTES = 1432
"""Largest datagram, so that none is fragmented on an Ethernet path."""

MILLISECONDS = 1000.0


class Metrics:
    """Counters, gauges and timers by the names in `names.TABLE`.

    Without a server in the settings everything is still counted, and `flush` writes nothing.
    """

    def __init__(self, settings):
        self.client = client_of(settings)
        self.counters = Counter()
        self.gauges = {}
        self.timers = {}
        self.timed = Counter()
        self.totals = Counter()

    def count(self, name, amount=1, tag=""):
        """Add `amount` to a counter."""
        key = key_of(name, Kind.COUNTER, tag)
        self.counters[key] += amount
        self.totals[key] += amount

    def gauge(self, name, value, tag=""):
        """Set a gauge."""
        self.gauges[key_of(name, Kind.GAUGE, tag)] = value

    def timing(self, name, seconds, tag=""):
        """Record one duration in seconds."""
        key = key_of(name, Kind.TIMER, tag)
        samples = self.timers.setdefault(key, [])
        if len(samples) < TIMER_SAMPLES:
            samples.append(seconds)
        else:
            samples[self.timed[key] % TIMER_SAMPLES] = seconds
        self.timed[key] += 1

    def violation(self, name, detail=""):
        """Count a violated invariant; fits `Invariants(on_violation=...)`."""
        self.count("invariant_violations", tag=name)

    def flush(self):
        """Write what was gathered since the last call and start anew; gauges are kept."""
        counters, self.counters = self.counters, Counter()
        timers, self.timers = self.timers, {}
        self.timed = Counter()
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
            await asyncio.sleep(FLUSH_INTERVAL)
            self.flush()


def client_of(settings):
    """Return the statsd client that the settings ask for, or None."""
    if not settings.observe.statsd:
        return None
    host, _, port = settings.observe.statsd.rpartition(":")
    prefix = f"persimmonstall.{settings.daemon.role}"
    return statsd.StatsClient(host, int(port), prefix=prefix, maxudpsize=PACKET_BYTES)


def key_of(name, kind, tag):
    """Return the written name; KeyError for one that the table does not list."""
    check_use(name, kind, tag)
    return f"{name}.{tag}" if tag else name
