"""Fault injection shared by the in-memory stand-ins for the platform's stores.

Times are in seconds of the running event loop's clock.
"""

import asyncio
from collections import Counter

import attrs

from persimmonstall.failures import Failure, Reason

NETWORK_LATENCY = 0.001
"""Latency of a call without faults, in seconds."""


@attrs.define
class StoreFaults:
    """Switches of one store.

    `down` fails every call without effect; `delay` is added to the latency of each call;
    `lose_answers` applies writes and drops their answers; `apply_late` applies a write that
    many seconds after its timeout; `serve_old` answers reads from the state at the time when
    it was switched on.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: bool = False
    apply_late: float = 0.0
    serve_old: bool = False


@attrs.define
class CallCounter:
    """Number of calls by kind, "reads" and "writes"."""

    total: Counter = attrs.field(factory=Counter)

    def count(self, kind):
        """Count one call."""
        self.total[kind] += 1


class FaultyStore:
    """Base class of the in-memory stores: applies `StoreFaults` to reads and writes."""

    down_reason = Reason.STORE_DOWN

    def __init__(self, faults=None, latency=NETWORK_LATENCY, name="store"):
        self.faults = faults or StoreFaults()
        self.latency = latency
        self.name = name
        self.call_counter = CallCounter()

    def unavailable(self, step, detail):
        """Return the `Failure` of a call that had no effect."""
        return Failure(self.down_reason, step, self.name, detail)

    async def run_read(self, step, effect, timeout):
        """Call `effect` after the latency; return its result or, by `timeout`, a `Failure`."""
        self.call_counter.count("reads")
        if self.faults.down:
            return self.unavailable(step, "down")
        wait = self.latency + self.faults.delay
        if wait > timeout:
            await asyncio.sleep(timeout)
            return self.unavailable(step, "timeout")
        await asyncio.sleep(wait)
        return effect()

    async def run_write(self, step, effect, timeout):
        """Call `effect`; return its result or, by `timeout`, a `Failure`.

        A write whose latency exceeds `timeout` is applied after the caller has the `Failure`.
        """
        loop = asyncio.get_running_loop()
        self.call_counter.count("writes")
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
        """Wait for the rest of the timeout; return the `Failure` of a write of unknown effect."""
        await asyncio.sleep(seconds)
        return Failure(Reason.AMBIGUOUS, step, self.name, "timeout")
