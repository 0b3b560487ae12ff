"""Copies of a content that crashes endpoints, at many entries at once, on virtual time."""

import asyncio
import itertools
import random

import attrs
import pytest

from persimmonstall.direct.messages import Endpoint
from persimmonstall_standins.virtual import loop as virtual_loop

from .direct_fleet import GossipFleet
from .test_direct_crashes import PartCall

WARM_UP_SECONDS = 3.0
BURSTS = 8
BURST_SECONDS = 1.5
COPIES = 12
ATTEMPTS = 2
RUN_SECONDS = 0.1
CONFIRM_SECONDS = 0.02

ANSWER_SECONDS = 0.3
SOUND_CALLS_PER_SECOND = 30.0
SOUND_CONTENTS = 40
CALLS_BESIDE = 3

KNOWN_CRASHES = 3
KNOWN_SECONDS = 3.0
LATE_ARRIVALS = 3
"""How many copies may reach endpoints later than `KNOWN_SECONDS` after `KNOWN_CRASHES` crashes."""

REFUSED_SHARE = 0.05
BAD = PartCall("bad", ("body-bad",))


@attrs.define
class Copies:
    """Bursts of `BAD`, and sound calls of which some are lost beside it."""

    fleet: GossipFleet
    numbers: random.Random
    arrivals: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    in_flight: list = attrs.field(factory=list)
    sound: int = 0
    refused: int = 0
    number: itertools.count = attrs.field(factory=itertools.count)

    async def serve_bad(self, entry):
        """Serve a copy of the content that crashes its endpoints."""
        reporter = entry.crash_reporter
        if await reporter.check(BAD) is not None:
            return
        for attempt in range(ATTEMPTS):
            if attempt and not reporter.may_retry(BAD):
                return
            self.arrivals.append(self.fleet.clock())
            await asyncio.sleep(RUN_SECONDS)
            await self.crash(entry)

    async def crash(self, entry):
        """Crash an endpoint that runs the content and some sound calls."""
        endpoint = Endpoint(f"e{next(self.number)}", "plain", "10.0.9.9:80", born=1, slots=8)
        self.crashes.append(self.fleet.clock())
        count = min(CALLS_BESIDE, len(self.in_flight))
        beside = self.numbers.sample(self.in_flight, count)
        lost = [(entry, BAD), *beside]
        for lost_entry, call in lost:
            now = self.fleet.clock()
            tracker = lost_entry.state.crash_tracker
            tracker.record_lost_connection(call.content, endpoint.lifetime, now, call.parts)
        for flight in beside:
            self.in_flight.remove(flight)
        await asyncio.sleep(CONFIRM_SECONDS)
        for lost_entry, _ in lost:
            lost_entry.crash_reporter.record_crash(endpoint)

    async def serve_sound(self, entry):
        """Serve a sound call, unless it is refused or lost in a crash."""
        name = f"s{self.numbers.randrange(SOUND_CONTENTS)}"
        call = PartCall(name, (f"body-{name}",))
        self.sound += 1
        if await entry.crash_reporter.check(call) is not None:
            self.refused += 1
            return
        flight = (entry, call)
        self.in_flight.append(flight)
        await asyncio.sleep(ANSWER_SECONDS)
        if flight in self.in_flight:
            self.in_flight.remove(flight)
            entry.crash_reporter.record_whole(call)

    async def run(self, restarts):
        """Send bursts of copies beside sound calls; restart some entries after each burst."""
        sound = asyncio.create_task(self.send_sound())
        for _ in range(BURSTS):
            entries = [self.fleet.random_entry() for _ in range(COPIES)]
            await asyncio.gather(*map(self.serve_bad, entries))
            for _ in range(restarts):
                address = self.fleet.random_entry().settings.daemon.address
                self.fleet.kill(address)
                self.fleet.start(address)
            await asyncio.sleep(BURST_SECONDS)
        sound.cancel()

    async def send_sound(self):
        """Send sound calls until cancelled."""
        async with asyncio.TaskGroup() as calls:
            while True:
                calls.create_task(self.serve_sound(self.fleet.random_entry()))
                await asyncio.sleep(self.numbers.expovariate(SOUND_CALLS_PER_SECOND))

    def late_arrivals(self):
        """Return the number of copies that endpoints got once the content was known."""
        known_at = self.crashes[KNOWN_CRASHES - 1] + KNOWN_SECONDS
        return sum(at > known_at for at in self.arrivals)


def play(count, seed, loss=0.0, restarts=0):
    """Return the `Copies` that a fleet of `count` entries got."""

    async def run():
        numbers = random.Random(seed)
        fleet = GossipFleet(count, numbers, loss)
        await asyncio.sleep(WARM_UP_SECONDS)
        copies = Copies(fleet, numbers)
        await copies.run(restarts)
        fleet.stop()
        return copies

    return virtual_loop.run(run())


def check(copies):
    """Check that few copies came late, and that nearly all sound calls were served."""
    assert copies.late_arrivals() <= LATE_ARRIVALS
    assert copies.refused <= REFUSED_SHARE * copies.sound


@pytest.mark.parametrize(("count", "loss", "restarts"), [(3, 0.0, 0), (8, 0.1, 2), (34, 0.1, 4)])
def test_copies_at_once_are_refused_once_the_content_is_known(count, loss, restarts):
    check(play(count, 1, loss, restarts))


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize(("count", "restarts"), [(2, 2), (8, 3), (34, 10)])
def test_copies_at_once_are_refused_over_many_seeds(count, restarts, seed):
    check(play(count, seed, 0.1, restarts))


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(2))
def test_copies_at_once_are_refused_by_300_entries(seed):
    check(play(300, seed, 0.02, 20))
