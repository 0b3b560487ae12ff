"""Updates an entry's state as time passes, and finds out whether the process is held up."""

import asyncio
import time

TICK_SECONDS = 0.1
"""Interval at which state that changes with time alone is updated."""

LATE_TICK_SECONDS = 0.1
"""Lateness of a tick from which it is logged."""

SUSPENSION_SECONDS = 0.7
"""Suspended time between two ticks from which the directory is read again and deadlines reset."""


class Ticker:
    """Runs the periodic work of `entry`; `lag` is the lateness of the last tick in seconds."""

    def __init__(self, entry):
        self.entry = entry
        self.lag = 0.0

    async def run(self):
        """Tick until cancelled."""
        last, last_monotonic = self.entry.now(), time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now, monotonic = self.entry.now(), time.monotonic()
            self.record_lag(monotonic - last_monotonic - TICK_SECONDS)
            self.check_suspension((now - last) - (monotonic - last_monotonic))
            last, last_monotonic = now, monotonic
            self.update(now)
            self.report(now)

    def record_lag(self, seconds):
        """Record how late a tick of the event loop was; log it if callers notice."""
        self.lag = max(0.0, seconds)
        self.entry.metrics.timing("loop_lag", self.lag)
        if seconds > LATE_TICK_SECONDS:
            self.entry.log.warning("loop_late", ms=round(seconds * 1000))

    def check_suspension(self, seconds):
        """Reconnect and set timers anew if the process was suspended for a while."""
        if seconds > SUSPENSION_SECONDS:
            self.entry.log.warning("suspended", seconds=round(seconds, 2))
            self.entry.directory.reconnect()
            self.entry.time_limits.reschedule()

    def update(self, now):
        """Let what changes with time alone follow it."""
        entry = self.entry
        entry.state.tick(now)
        entry.memory.tick()
        entry.evacuations.expire(now)
        entry.held_endpoints.tick(now)
        entry.cold.review(now)
        entry.admission.tick(now)

    def report(self, now):
        """Set the gauges that no event sets."""
        entry = self.entry
        entry.metrics.gauge("in_flight", entry.callers.in_flight)
        entry.metrics.gauge("directory_age", now - entry.state.directory_seen_at)
        if entry.log_stream is not None:
            entry.metrics.gauge("log_lines_dropped", entry.log_stream.dropped)
