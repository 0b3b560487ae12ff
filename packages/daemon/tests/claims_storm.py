"""Randomised runs of whole daemons under faults on virtual time, which check "at most once".

Executions are counted in the logs of the stand-in services and engines.  Daemons, two of which
share one service, can be paused while they wait for the table, killed and restarted.
"""

import asyncio
import hashlib
from collections import Counter
from random import Random

import attrs

from persimmonstall.catalogue import Change, Service
from persimmonstall.failures import Outcome
from persimmonstall.outside.table import Table
from persimmonstall_daemon.entry.request import Answer, NullSink
from persimmonstall_standins.fleet import SECRET, Fleet, small_catalogue
from persimmonstall_standins.service import ServiceModel, ServiceSettings

DEADLINE = 6.0
ANSWER_SLACK = 0.2
QUIET_SECONDS = 60.0
ENTRIES = 3
SERVICES = ("s0", "s1", "s2")
ENGINES = ("e0", "e1", "e2")
DAEMONS = SERVICES + ENGINES


class GatedTable(Table):
    """The table as seen by one daemon; a closed gate pauses the daemon before and after calls."""

    def __init__(self, table):
        self.table = table
        self.gate = asyncio.Event()
        self.gate.set()

    async def gated(self, call):
        await self.gate.wait()
        result = await call()
        await self.gate.wait()
        return result

    async def read(self, table, key, timeout):
        return await self.gated(lambda: self.table.read(table, key, timeout))

    async def scan(self, table, prefix, after, limit, timeout):
        return await self.gated(lambda: self.table.scan(table, prefix, after, limit, timeout))

    async def commit(self, writes, timeout):
        return await self.gated(lambda: self.table.commit(writes, timeout))


@attrs.define
class Send:
    """One request and its outcome, as seen by its caller."""

    request_id: str
    key: str
    took: float
    result: object


@attrs.define
class Storm:
    """One randomised run; `sends` and `faults` record what happened."""

    seed: int
    random: Random = None
    fleet: Fleet = None
    sends: list = attrs.field(factory=list)
    faults: Counter = attrs.field(factory=Counter)
    replaced: list = attrs.field(factory=list)

    async def start(self):
        """Start entries and daemons; two of the daemons serve the same service instance."""
        self.random = Random(self.seed)
        catalogue = small_catalogue(hashlib.sha256(SECRET.encode()).hexdigest())
        catalogue.apply(Change(3, "service", "records", Service("records", ("file",))))
        self.fleet = Fleet(catalogue, seed=self.seed)
        shared = ServiceModel("s0", ServiceSettings(seed=self.seed))
        alone = ServiceModel("s2", ServiceSettings(seed=self.seed))
        for name, outside in (("s0", shared), ("s1", shared), ("s2", alone)):
            self.fleet.tables[name] = GatedTable(self.fleet.claims)
            await self.fleet.add_service(name, "records", backend=outside)
        for name in ENGINES:
            self.fleet.tables[name] = GatedTable(self.fleet.claims)
            await self.fleet.add_endpoint(name)
        for number in range(ENTRIES):
            await self.fleet.add_entry(f"entry{number}")

    @property
    def services(self):
        """The service instances, each once."""
        return {id(service): service for service in self.fleet.services.values()}.values()

    async def run(self, seconds):
        """Send requests for `seconds` under faults, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        tasks = [asyncio.create_task(self.fault_until(ends)) for _ in range(2)]
        number = 0
        while loop.time() < ends:
            number += 1
            tasks.append(asyncio.create_task(self.caller(number)))
            await asyncio.sleep(self.random.expovariate(4.0))
        await asyncio.gather(*tasks)
        await asyncio.sleep(QUIET_SECONDS)

    async def caller(self, number):
        """Send a call; resend a keyed one through random entries, also while it is in flight."""
        method = self.random.choice(("file", "file", "read", "generate", "generate once"))
        keyed = method == "generate once" or (method == "file" and self.random.random() < 0.8)
        key = f"k{number}" if keyed else ""
        for _ in range(4):
            sending = [self.send(number, key, method)]
            if key and self.random.random() < 0.3:
                sending.append(self.send(number, key, method))
            results = await asyncio.gather(*sending)
            if not key or any(isinstance(result, Answer) for result in results):
                return
            await asyncio.sleep(self.random.uniform(0.1, 3.0))

    async def send(self, number, key, method):
        """Send one request through a random entry and record its outcome."""
        entry = self.random.choice(self.fleet.entries)
        changes = {"service": "records", "method": method, "model": "", "max_tokens": 0}
        if method.startswith("generate"):
            changes = {"idempotent": not key, "max_tokens": 60}
        deadline = self.random.uniform(0.5, DEADLINE)
        tokens = self.random.choice((2, 500, 4000))
        request = self.fleet.request(number, tokens, key=key, deadline=deadline, **changes)
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await entry.serve(request, NullSink())
        took = loop.time() - began
        assert took <= deadline + ANSWER_SLACK, (self.seed, took, deadline, result)
        self.sends.append(Send(request.request_id, key, took, result))
        return result

    async def fault_until(self, ends):
        """Inject one random fault after the other until the time `ends`."""
        kinds = (
            self.table_fault,
            self.link_fault,
            self.pause,
            self.service_fault,
            self.service_death,
            self.engine_fault,
            self.restart,
        )
        while asyncio.get_running_loop().time() < ends:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            kind = self.random.choice(kinds)
            self.faults[kind.__name__] += 1
            await kind(self.random.uniform(0.05, 6.0))

    async def table_fault(self, seconds):
        """Make the table unavailable, slow, stale, lose its answers or apply writes late."""
        name, value = self.random.choice(
            (
                ("down", True),
                ("delay", self.random.uniform(0.1, 2.0)),
                ("lose_answers", True),
                ("apply_late", self.random.uniform(0.1, 8.0)),
                ("serve_old", True),
            )
        )
        faults = self.fleet.claims.faults
        before = type(faults)()
        setattr(faults, name, value)
        await asyncio.sleep(seconds)
        setattr(faults, name, getattr(before, name))

    async def link_fault(self, seconds):
        """Cut the link of an entry and a daemon, in one direction or both, or silence it."""
        pair = [f"entry{self.random.randrange(ENTRIES)}:1", f"{self.random.choice(DAEMONS)}:1"]
        self.random.shuffle(pair)
        if self.random.random() < 0.3:
            self.fleet.fabric.silence(*pair)
            return
        self.fleet.fabric.cut(*pair, both=self.random.random() < 0.5)
        await asyncio.sleep(seconds)
        self.fleet.fabric.heal(*pair)

    async def pause(self, seconds):
        """Pause a daemon at its next call to the table."""
        gate = self.fleet.tables[self.random.choice(DAEMONS)].gate
        gate.clear()
        await asyncio.sleep(seconds)
        gate.set()

    async def service_fault(self, seconds):
        """Make a service answer late, refuse calls, or run them without ever answering."""
        faults = self.random.choice(list(self.services)).faults
        name, value = self.random.choice(
            (("answer_delay", seconds), ("refuse", True), ("silent", True))
        )
        setattr(faults, name, value)
        await asyncio.sleep(seconds)
        setattr(faults, name, type(value)())

    async def service_death(self, seconds):
        """Kill a service and restart it."""
        service = self.random.choice(list(self.services))
        if service.dead:
            return
        service.die()
        await asyncio.sleep(seconds)
        service.restart()

    async def engine_fault(self, seconds):
        """Kill an engine and restart it, or silence its open connections."""
        engine = self.fleet.engines[self.random.choice(ENGINES)]
        if self.random.random() < 0.3:
            engine.silence_steps()
            return
        if engine.dead:
            return
        engine.die()
        await asyncio.sleep(seconds)
        engine.restart()

    async def restart(self, seconds):
        """Disconnect a daemon for good and start a new one in its place.

        The old one continues the work that it has received, as after a pause.
        """
        name = self.random.choice(DAEMONS)
        old = self.fleet.daemons.pop(name, None)
        if old is None:
            return
        self.fleet.fabric.kill(f"{name}:1")
        old.listener = None
        self.replaced.append(old)
        await asyncio.sleep(seconds)
        self.fleet.instances[:] = [one for one in self.fleet.instances if one.name != name]
        if name in ENGINES:
            await self.fleet.add_endpoint(name, engine=self.fleet.engines[name])
        else:
            outside = self.fleet.services[name]
            await self.fleet.add_service(name, "records", backend=outside)

    def violations(self):
        """Return the outcomes that contradict the logs of the services and engines."""
        by_request, not_idempotent = self.run_counts()
        by_key = Counter()
        for request_id, key in ((send.request_id, send.key) for send in self.sends):
            if key or request_id in not_idempotent:
                by_key[key or request_id] += by_request[request_id]
        found = [f"{key} ran {count} times" for key, count in by_key.items() if count > 1]
        for send in self.sends:
            found.extend(self.check_send(send, by_request, by_key))
        return found

    def run_counts(self):
        """Return how often each request ran, and the requests that are not idempotent."""
        by_request = Counter()
        not_idempotent = set()
        for service in self.services:
            for run in service.runs:
                request_id = run.call_id.split("/")[1]
                by_request[request_id] += 1
                if run.method == "file":
                    not_idempotent.add(request_id)
        for engine in self.fleet.engines.values():
            started = [line.job_id for line in engine.log if line.event == "started"]
            by_request.update(job_id.split("/")[1] for job_id in started)
        return by_request, not_idempotent

    def check_send(self, send, by_request, by_key):
        """Yield the contradictions between one outcome and the logs."""
        if isinstance(send.result, Answer):
            if send.key and by_key[send.key] != 1:
                yield f"{send.request_id} has an answer without a run"
        elif send.result.outcome is Outcome.NOT_RUN and by_request[send.request_id]:
            yield f"{send.request_id} was reported as not_run but ran: {send.result}"

    def summary(self):
        """Return a line of statistics for the log."""
        ends = Counter(outcome_of(send.result) for send in self.sends)
        ran = sum(self.run_counts()[0].values())
        return f"seed {self.seed}: {len(self.sends)} sends {dict(ends)}, {ran} runs, {self.faults}"


def outcome_of(result):
    """Return the outcome reported to a caller as a word."""
    return "answer" if isinstance(result, Answer) else str(result.outcome)


async def storm(seed, seconds):
    """Return a `Storm` that has run for `seconds`."""
    storm_run = Storm(seed)
    await storm_run.start()
    await storm_run.run(seconds)
    await storm_run.fleet.stop()
    for daemon in storm_run.replaced:
        await daemon.stop()
    return storm_run
