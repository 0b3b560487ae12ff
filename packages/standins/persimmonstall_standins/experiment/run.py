"""Runs a trace through a fleet of daemons in one process on virtual time."""

import asyncio
import hashlib
from collections import Counter

import attrs

from persimmonstall.catalogue import Catalogue, Change, Model, Organisation
from persimmonstall_daemon.entry.request import Answer, CallerRequest, Sink

from ..engine import EngineModel
from ..engine_state import EngineSettings
from ..fleet import Fleet
from ..virtual import loop as virtual
from ..virtual.network import Fabric
from .mix import MIXES, ORGANISATION_WEIGHTS, alone_seconds, make_trace

DATA_CENTRES = ("dc1", "dc2", "dc3")
FAULT_AT = 0.35
FAULT_UNTIL = 0.7
"""Shares of the run time at which a fault begins and ends."""

SLOW_FACTOR = 4.0
FAULTS = ("steady", "killed", "slow", "data_centre")
GAP_UNIT = 0.001
"""Resolution of times between tokens, in seconds."""


@attrs.frozen
class Plan:
    """Parameters of a run; `load` 1.0 is full load, requests arrive for `seconds`."""

    policy: str
    mix: str
    load: float
    seed: int
    fault: str = "steady"
    seconds: float = 40.0
    warm_up: float = 10.0
    engines: int = 20
    max_prompt_tokens: int = 380_000


@attrs.frozen
class Record:
    """Outcome of one request; `at` is from the start of the run, other times from `at`.

    `count` is the number of output tokens.
    """

    number: int
    at: float
    length_class: str
    tokens: int
    alone_first: float
    alone_end: float
    deadline: float
    first: float
    end: float
    outcome: str
    count: int = 0
    cached: int = 0
    attempts: int = 0
    endpoint: str = ""


@attrs.frozen
class Result:
    """Records of a run, histogram of times between tokens (ms: count) and prefilled tokens."""

    plan: Plan
    records: tuple
    gaps: dict
    prefilled: int


class TimedSink(Sink):
    """Sink that records the time of the first token and the times between tokens."""

    def __init__(self, now, gaps):
        self.now = now
        self.gaps = gaps
        self.first = 0.0
        self.last = 0.0

    async def write(self, tokens):
        """Record the arrival time of `tokens`."""
        now = self.now()
        if not self.first:
            self.first = now
        else:
            self.gaps[int((now - self.last) / GAP_UNIT)] += 1
        self.last = now


class ExperimentFleet(Fleet):
    """Fleet whose daemons all use the same placement policy."""

    policy = "length"
    short_share = 0.25

    def settings(self, name, address, role, data_centre):
        """Return the settings of one daemon."""
        settings = super().settings(name, address, role, data_centre)
        settings.placing.policy = self.policy
        settings.placing.short_share = self.short_share
        return settings


def make_catalogue():
    """Return a catalogue of ten organisations and one model."""
    catalogue = Catalogue()
    for number in range(len(ORGANISATION_WEIGHTS)):
        name = f"o{number}"
        key = hashlib.sha256(secret_of(number).encode()).hexdigest()
        record = Organisation(name, key_hashes=(key,))
        catalogue.apply(Change(catalogue.version + 1, "organisation", name, record))
    catalogue.apply(Change(catalogue.version + 1, "model", "m", Model("m")))
    return catalogue


def secret_of(organisation):
    """Return the API key of an organisation."""
    return f"secret-{organisation}"


class Experiment:
    """One run of a `Plan`."""

    def __init__(self, plan):
        self.plan = plan
        self.mix = MIXES[plan.mix]
        self.gaps = Counter()
        self.records = []
        self.lost_entries = set()
        self.entry_lost = asyncio.Event()

    async def run(self):
        """Run the plan and return its `Result`."""
        plan = self.plan
        await self.build()
        total = plan.warm_up + plan.seconds
        trace = make_trace(
            self.mix, plan.seed, total, plan.load, plan.engines, plan.max_prompt_tokens
        )
        loop = asyncio.get_running_loop()
        start = loop.time()
        fault = asyncio.create_task(self.fault(total))
        tasks = []
        for arrival in trace:
            await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
            tasks.append(asyncio.create_task(self.send_request(arrival, start)))
        await asyncio.gather(*tasks)
        fault.cancel()
        prefilled = sum(engine.prefilled_tokens for engine in self.fleet.engines.values())
        await self.fleet.stop()
        return Result(plan, tuple(self.records), dict(self.gaps), prefilled)

    async def build(self):
        """Start engines and daemons in three data centres with an entry in each."""
        fabric = Fabric(remote_delay=self.mix.remote_delay)
        self.fleet = ExperimentFleet(make_catalogue(), self.plan.seed, fabric)
        self.fleet.policy = self.plan.policy
        self.fleet.short_share = self.mix.short_share
        for number in range(self.plan.engines):
            engine = EngineModel(f"e{number}", EngineSettings(models=("m",), seed=number))
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            await self.fleet.add_endpoint(f"e{number}", data_centre, engine)
        for data_centre in DATA_CENTRES:
            await self.fleet.add_entry(f"entry-{data_centre}", data_centre)

    def entry_of(self, arrival):
        """Return the entry for a request: round robin over the live ones, as a load balancer."""
        entries = [e for e in self.fleet.entries if e not in self.lost_entries]
        return entries[arrival.number % len(entries)]

    async def send_request(self, arrival, start):
        """Send one request and record its outcome."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        await asyncio.sleep(self.mix.client_delay)
        request = CallerRequest(
            request_id=f"r{arrival.number}",
            secret=secret_of(arrival.organisation),
            prompt=arrival.prompt.make(),
            body_hash=str(arrival.number),
            arrived=loop.time(),
            model="m",
            max_tokens=arrival.max_tokens,
            deadline=arrival.deadline,
        )
        sink = TimedSink(loop.time, self.gaps)
        outcome = await self.serve(self.entry_of(arrival), request, sink)
        if outcome is None:
            outcome = await self.resend(arrival, request, sink)
        await asyncio.sleep(self.mix.client_delay)
        self.record(arrival, arrived, sink, outcome, loop.time())

    async def serve(self, entry, request, sink):
        """Return the outcome at `entry`, or None if the entry is lost before it answers."""
        answering = asyncio.ensure_future(entry.serve(request, sink))
        lost = asyncio.ensure_future(self.entry_lost.wait())
        # The fault "data_centre" cuts off the last entry only.
        awaited = {answering, lost} if entry is self.fleet.entries[-1] else {answering}
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        lost.cancel()
        if answering.done():
            return answering.result()
        answering.cancel()
        return None

    async def resend(self, arrival, request, sink):
        """Retry a request through another entry, as callers do when their connection breaks."""
        now = asyncio.get_running_loop().time()
        left = request.arrived + request.deadline - now
        again = attrs.evolve(
            request, request_id=f"{request.request_id}-again", arrived=now, deadline=left
        )
        sink.first = 0.0
        return await self.entry_of(arrival).serve(again, sink)

    def record(self, arrival, arrived, sink, outcome, now):
        """Append the `Record` of a request."""
        delay = self.mix.client_delay
        alone = alone_seconds(arrival.tokens, arrival.output, EngineSettings())
        whole = isinstance(outcome, Answer)
        self.records.append(
            Record(
                arrival.number,
                arrival.at,
                str(arrival.length_class),
                arrival.tokens,
                alone[0] + 2 * delay,
                alone[1] + 2 * delay,
                arrival.deadline,
                sink.first - arrived + delay if sink.first else 0.0,
                now - arrived,
                "whole" if whole else str(outcome.reason),
                outcome.count if whole else 0,
                outcome.cached if whole else 0,
                outcome.attempts if whole else 0,
                outcome.endpoint if whole else "",
            )
        )

    async def fault(self, total):
        """Inject the fault of the plan and end it later."""
        await asyncio.sleep(FAULT_AT * total)
        begin, end = {
            "steady": (lambda: None, lambda: None),
            "killed": (self.kill, self.revive),
            "slow": (self.slow_down, self.speed_up),
            "data_centre": (self.lose_data_centre, self.regain_data_centre),
        }[self.plan.fault]
        begin()
        await asyncio.sleep((FAULT_UNTIL - FAULT_AT) * total)
        end()

    def kill(self):
        """Kill one engine."""
        self.fleet.engines["e1"].die()

    def revive(self):
        """Restart the killed engine."""
        self.fleet.engines["e1"].restart()

    def slow_down(self):
        """Make one engine slow."""
        self.fleet.engines["e1"].faults.slow = SLOW_FACTOR

    def speed_up(self):
        """Make the slow engine as fast as before."""
        self.fleet.engines["e1"].faults.slow = 1.0

    def lost_addresses(self):
        """Return the addresses of the daemons in the data centre that the fault cuts off."""
        data_centres = self.fleet.fabric.data_centres
        return [
            address
            for address, data_centre in data_centres.items()
            if data_centre == DATA_CENTRES[-1]
        ]

    def lose_data_centre(self):
        """Cut off one data centre; the load balancer no longer uses its entry."""
        for address in self.lost_addresses():
            self.fleet.fabric.isolate(address)
        self.lost_entries.add(self.fleet.entries[-1])
        self.entry_lost.set()

    def regain_data_centre(self):
        """Reconnect the data centre."""
        for address in self.lost_addresses():
            self.fleet.fabric.rejoin(address)
        self.lost_entries.clear()
        self.entry_lost.clear()


def run_plan(plan):
    """Run `plan` on a new virtual loop and return its `Result`."""
    return virtual.run(Experiment(plan).run())
