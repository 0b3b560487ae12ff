"""Stand-in for a plain service that logs every call that it runs."""

import asyncio
from random import Random

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.service import PlainService, ServiceAnswer, ServiceLoad

LATENCY = 0.0005
"""Network latency of a call, in seconds."""


@attrs.define
class ServiceSettings:
    """Limits of concurrent and queued calls, mean service time and load lag in seconds."""

    capacity: int = 8
    queue: int = 64
    mean_seconds: float = 0.05
    load_lag: float = 0.5
    seed: int = 1


@attrs.define
class ServiceFaults:
    """Switches that can be changed while the service runs.

    `answer_delay` delays each answer by that many seconds after its call has run; `silent` runs
    calls and never answers; `refuse` rejects every call with BUSY.
    """

    answer_delay: float = 0.0
    silent: bool = False
    refuse: bool = False


@attrs.frozen
class ServiceRun:
    """One call that was run: the time of its effect and its contents."""

    at: float
    call_id: str
    method: str
    body: bytes


class ServiceModel(PlainService):
    """A plain service in memory; `runs` logs its calls, `speed` divides its times."""

    def __init__(self, name, settings=None, faults=None, speed=1.0):
        self.name = name
        self.settings = settings or ServiceSettings()
        self.faults = faults or ServiceFaults()
        self.speed = speed
        self.random = Random(f"{self.settings.seed}/{name}")
        self.runs = []
        self.active = 0
        self.waiting = 0
        self.dead = False
        self.died = None
        self.slots = None
        self.last_report = (0.0, ServiceLoad(0, 0, self.settings.capacity))

    async def call(self, call, timeout):
        """Run a `ServiceCall`; return its `ServiceAnswer` or a `Failure`."""
        if self.dead:
            return self.failure("not connected")
        await asyncio.sleep(LATENCY)
        if self.dead:
            return self.failure("not connected")
        free_places = self.settings.capacity + self.settings.queue - self.active - self.waiting
        if self.faults.refuse or free_places <= 0:
            return Failure(Reason.BUSY, "call", self.name, "queue full")
        self.waiting += 1
        task = asyncio.get_running_loop().create_task(self.run(call))
        death = self.death()
        await asyncio.wait([task, death], timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        if task.done() and not task.cancelled():
            return task.result()
        return self.failure("connection reset" if death.done() else "timeout")

    async def load(self, timeout):
        """Return the `ServiceLoad`, up to `load_lag` seconds old, or a `Failure`."""
        if self.dead:
            return self.failure("not connected")
        await asyncio.sleep(LATENCY)
        return self.lagging_load()

    async def run(self, call):
        """Wait for a slot, run the call and answer; continues after the caller's timeout."""
        self.slots = self.slots or asyncio.Semaphore(self.settings.capacity)
        death = self.death()
        async with self.slots:
            if death.done():
                return self.failure("connection reset")
            self.waiting -= 1
            self.active += 1
            await asyncio.sleep(self.service_seconds())
            if death.done():
                return self.failure("connection reset")
            self.active -= 1
            self.runs.append(ServiceRun(self.now(), call.call_id, call.method, call.body))
        if self.faults.silent:
            await death
        await asyncio.sleep(self.faults.answer_delay)
        return ServiceAnswer(200, self.answer_body(call))

    def service_seconds(self):
        """Return a random service time of one call, in seconds of the event loop."""
        return self.random.expovariate(1 / self.settings.mean_seconds) / self.speed

    def answer_body(self, call):
        """Return the body of an answer: the method and the number of runs so far."""
        return f'{{"method": "{call.method}", "run": {len(self.runs)}}}'.encode()

    def lagging_load(self):
        """Return the last reported load, updated once it is `load_lag` seconds old."""
        now = self.now()
        if now - self.last_report[0] >= self.settings.load_lag / self.speed:
            self.last_report = (
                now,
                ServiceLoad(self.active, self.waiting, self.settings.capacity),
            )
        return self.last_report[1]

    def failure(self, detail):
        """Return a `Failure` of this service."""
        return Failure(Reason.ENDPOINT_LOST, "call", self.name, detail)

    def death(self):
        """Return the future that completes when the service dies."""
        if self.died is None:
            self.died = asyncio.get_running_loop().create_future()
        return self.died

    def die(self):
        """Stop, as when the process is killed: running and queued calls get no answer."""
        self.dead = True
        self.death().set_result(None)

    def restart(self):
        """Start again after `die` with an empty queue."""
        self.dead = False
        self.died = None
        self.slots = None
        self.active = 0
        self.waiting = 0

    def now(self):
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()
