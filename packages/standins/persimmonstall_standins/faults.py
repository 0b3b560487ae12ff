"""Faults of the platform's stores, shared by their in-memory stand-ins.

Times are in seconds of the running event loop's clock.
"""

import asyncio
from collections import Counter

import attrs

from persimmonstall.failures import Failure, Reason

NETWORK_LATENCY = 0.001
"""Time that a call takes without any fault, in seconds."""


@attrs.define
class StoreFaults:
    """Switches of one store.

    `down` refuses every call; `delay` slows each one; `lose_answers` lets writes take effect
    and loses the answer; `apply_late` lets a write take effect that long after its time-out;
    `serve_old` answers reads from the state at the time of switching.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: bool = False
    apply_late: float = 0.0
    serve_old: bool = False


@attrs.define
class Meter:
    """Counts calls by kind: "reads" and "writes"."""

    total: Counter = attrs.field(factory=Counter)

    def count(self, kind):
        """Count one call."""
        self.total[kind] += 1


class FaultyStore:
    """Runs reads and writes of an in-memory store under its `StoreFaults`."""

    down_reason = Reason.STORE_DOWN

    def __init__(self, faults=None, latency=NETWORK_LATENCY, name="store"):
        self.faults = faults or StoreFaults()
        self.latency = latency
        self.name = name
        self.meter = Meter()

    def unavailable(self, step, detail):
        """Return the failure of a call that certainly had no effect."""
        return Failure(self.down_reason, step, self.name, detail)

    async def run_read(self, step, effect, timeout):
        """Return the result of the function `effect`, or a `Failure` within `timeout`."""
        self.meter.count("reads")
        if self.faults.down:
            return self.unavailable(step, "down")
        wait = self.latency + self.faults.delay
        if wait > timeout:
            await asyncio.sleep(timeout)
            return self.unavailable(step, "timeout")
        await asyncio.sleep(wait)
        return effect()

    async def run_write(self, step, effect, timeout):
        """Return the result of the function `effect`, or a `Failure` within `timeout`."""
        loop = asyncio.get_running_loop()
        self.meter.count("writes")
        if self.faults.down:
            return self.unavailable(step, "down")
        wait = self.latency + self.faults.delay
        if self.faults.apply_late:
            wait = timeout + self.faults.apply_late
        if wait > timeout:
            loop.call_later(wait, effect)
            return await self.lost_answer(step, timeout)
        await asyncio.sleep(wait / 2)
        result = effect()
        if self.faults.lose_answers:
            return await self.lost_answer(step, timeout - wait / 2)
        await asyncio.sleep(wait / 2)
        return result

    async def lost_answer(self, step, seconds):
        """Wait for the caller's time-out and return the failure of an unknown effect."""
        await asyncio.sleep(seconds)
        return Failure(Reason.AMBIGUOUS, step, self.name, "timeout")
