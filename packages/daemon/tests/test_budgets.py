"""Organisations' limits enforced by entry daemons over their links, in virtual time."""

import asyncio
import hashlib

import pytest

from persimmonstall.catalogue.records import Organisation
from persimmonstall.catalogue.snapshot import Change
from persimmonstall.failures import Reason
from persimmonstall.outside.instances import Instance
from persimmonstall_daemon.entry.request import Answer
from persimmonstall_standins.fleet import SECRET, Fleet, small_catalogue
from persimmonstall_standins.virtual.loop import run

KEY_HASH = hashlib.sha256(SECRET.encode()).hexdigest()
RATE = 20.0


def limited(**limits):
    catalogue = small_catalogue(KEY_HASH)
    organisation = Organisation("nilerecord", key_hashes=(KEY_HASH,), **limits)
    catalogue.apply(Change(3, "organisation", "nilerecord", organisation))
    return catalogue


class LimitedFleet(Fleet):
    """Four entries in front of four engines; every entry knows the others."""

    async def begin(self):
        self.tasks = []
        self.number = 0
        for index in range(4):
            await self.add_endpoint(f"d{index}")
        for index in range(4):
            await self.add_entry(f"e{index}", f"dc{index % 3}")
        self.update_membership()
        for entry in self.entries:
            self.tasks.append(asyncio.create_task(entry.tick()))

    def update_membership(self):
        listed = tuple(self.instances) + tuple(
            Instance(entry.settings.daemon.instance, "entry", entry.settings.daemon.address, "dc1")
            for entry in self.entries
        )
        for entry in self.entries:
            entry.membership.on_list(listed)

    async def offer(self, seconds, rates):
        """Send requests to each entry at its rate; return (entry, time, outcome) triples."""
        loop = asyncio.get_running_loop()
        asked = []

        async def one(entry, number):
            arrived = loop.time()
            return entry, arrived, await self.send_request(entry, number, 100, max_tokens=16)

        async def stream(entry, rate):
            for _ in range(int(seconds * rate)):
                self.number += 1
                asked.append(asyncio.create_task(one(entry, self.number)))
                await asyncio.sleep(1 / rate)

        await asyncio.gather(*(stream(*pair) for pair in zip(self.entries, rates, strict=True)))
        return await asyncio.gather(*asked)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.stop()


def scenario(catalogue, steps):
    async def main():
        fleet = LimitedFleet(catalogue)
        await fleet.begin()
        try:
            return await steps(fleet)
        finally:
            await fleet.end()

    return run(main())


def answered(outcomes):
    return sum(1 for _, _, outcome in outcomes if isinstance(outcome, Answer))


def test_one_entry_uses_the_budget_that_the_others_leave():
    async def steps(fleet):
        outcomes = await fleet.offer(20, [60, 0.1, 0.1, 0.1])
        assert 0.75 * RATE * 20 <= answered(outcomes) <= RATE * 21 + 4
        refused = [one for _, _, one in outcomes if not isinstance(one, Answer)]
        assert {one.reason for one in refused} == {Reason.RATE_LIMITED}
        assert all(0 < one.retry_after <= 60 for one in refused)

    scenario(limited(requests_per_second=RATE), steps)


def test_a_burst_within_the_limit_is_not_refused():
    async def steps(fleet):
        asked = (fleet.send_request(fleet.entries[0], number, 100) for number in range(14))
        outcomes = await asyncio.gather(*asked)
        assert all(isinstance(one, Answer) for one in outcomes)

    scenario(limited(requests_per_second=RATE), steps)


@pytest.mark.parametrize("fault", ["none", "killed", "isolated"])
def test_overshoot_is_bounded(fault):
    async def steps(fleet):
        await fleet.offer(5, [30, 30, 30, 30])
        owner = fleet.entries[0].budgets.owner_of("nilerecord")
        address = f"{owner}:1"
        unreachable = 0
        if fault == "killed":
            entry = next(e for e in fleet.entries if e.settings.daemon.instance == owner)
            fleet.entries.remove(entry)
            fleet.fabric.kill(address)
            fleet.update_membership()
        if fault == "isolated":
            fleet.fabric.isolate(address)
            for index in range(4):
                fleet.fabric.heal(address, f"d{index}:1")
            unreachable = 3
        outcomes = await fleet.offer(20, [30] * len(fleet.entries))
        share = 1 - fleet.entries[0].settings.limits.own_share
        bound = RATE * (1 + share * unreachable / 4) * 20 + 2 * RATE + 4
        assert 0.6 * RATE * 20 <= answered(outcomes) <= bound

    scenario(limited(requests_per_second=RATE), steps)


def test_concurrency_is_shared():
    async def steps(fleet):
        asked = (
            fleet.send_request(fleet.entries[number % 4], number, 400) for number in range(40)
        )
        outcomes = await asyncio.gather(*asked)
        done = sum(1 for one in outcomes if isinstance(one, Answer))
        assert 6 <= done <= 8
        refused = {one.reason for one in outcomes if not isinstance(one, Answer)}
        assert refused == {Reason.CONCURRENCY_LIMITED}

    scenario(limited(concurrency=8), steps)


def test_tokens_are_settled_by_actual_usage():
    """Requests that may use 4,096 tokens use a few hundred; the rest is refunded."""

    async def steps(fleet):
        for number in range(20):
            outcome = await fleet.send_request(fleet.entries[0], number, 400)
            assert isinstance(outcome, Answer)

    scenario(limited(tokens_per_second=2_000.0), steps)


def test_without_limits_no_message_is_sent_between_entries():
    async def steps(fleet):
        outcomes = await fleet.offer(5, [20, 20, 20, 20])
        assert answered(outcomes) == len(outcomes)
        assert all(entry.peers.links == {} for entry in fleet.entries)
        assert all(entry.metrics.totals["budget_asks"] == 0 for entry in fleet.entries)

    scenario(limited(), steps)
