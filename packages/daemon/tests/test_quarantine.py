"""Content that crashes engines costs two of them and is then refused everywhere."""

import asyncio
import hashlib
from random import Random

import pytest

from persimmonstall.catalogue import Change, QuarantineLift
from persimmonstall.failures import Reason
from persimmonstall_daemon.entry.request import Answer, CallerRequest, NullSink
from persimmonstall_daemon.quarantine import FirstCopyGate, QuarantineManager
from persimmonstall_standins.fleet import SECRET, Fleet, small_catalogue
from persimmonstall_standins.virtual.loop import run

POISON = b"CRASH-ENGINE" * 300
ENGINES = 5
RESTART_SECONDS = 5.0


class Bench:
    """Two entries, and engines that restart some time after a crash."""

    async def start(self):
        catalogue = small_catalogue(hashlib.sha256(SECRET.encode()).hexdigest())
        self.fleet = Fleet(catalogue)
        for number in range(ENGINES):
            await self.fleet.add_endpoint(f"e{number}")
        self.entries = [await self.fleet.add_entry(f"entry{number}") for number in range(2)]
        self.restarting = asyncio.create_task(self.restart_crashed())
        return self

    async def restart_crashed(self):
        while True:
            await asyncio.sleep(0.1)
            for engine in self.fleet.engines.values():
                if engine.dead:
                    await asyncio.sleep(RESTART_SECONDS)
                    engine.restart()

    def crashes(self):
        logs = [engine.log for engine in self.fleet.engines.values()]
        return sum(1 for log in logs for line in log if line.event == "crashed")

    async def poison(self, entry, name, deadline=60.0):
        request = CallerRequest(
            request_id=name,
            secret=SECRET,
            prompt=POISON,
            body_hash="",
            arrived=asyncio.get_running_loop().time(),
            model="m",
            max_tokens=100,
            deadline=deadline,
        )
        return await entry.serve(request, NullSink())

    async def stop(self):
        self.restarting.cancel()
        await self.fleet.stop()


@pytest.fixture
def on_bench():
    def start(scenario):
        async def main():
            bench = await Bench().start()
            result = await scenario(bench)
            await bench.stop()
            return result

        return run(main())

    return start


async def resend_everywhere(bench):
    """Send the crashing content six times, through both entries in turn."""
    results = []
    for number in range(6):
        entry = bench.entries[number % 2]
        results.append(await bench.poison(entry, f"p{number}"))
        await asyncio.sleep(0.5)
    return results, bench.crashes()


def test_content_that_crashes_engines_costs_two_and_is_refused_everywhere(on_bench):
    results, crashes = on_bench(resend_everywhere)
    assert crashes == 2
    assert {result.reason for result in results} == {Reason.QUARANTINED}
    assert all(result.retry_after is None for result in results)


def test_without_the_keeper_each_resend_costs_engines(on_bench, monkeypatch):
    monkeypatch.setattr(QuarantineManager, "record_crash", lambda *_, **__: None)
    _, crashes = on_bench(resend_everywhere)
    assert crashes > 2


def test_innocents_in_the_batch_complete(on_bench):
    async def scenario(bench):
        asked = [bench.fleet.send_request(bench.entries[n % 2], 55 + n, 1000) for n in range(20)]
        asked = [asyncio.ensure_future(one) for one in asked]
        await asyncio.sleep(0.3)
        refused = await bench.poison(bench.entries[0], "p")
        answers = await asyncio.gather(*asked)
        return refused, answers, bench.crashes(), bench.entries[1].quarantine.verdicts()

    refused, answers, crashes, listed = on_bench(scenario)
    assert refused.reason is Reason.QUARANTINED
    assert crashes == 2
    assert all(isinstance(answer, Answer) for answer in answers)
    assert len(listed) == 1


def test_engine_and_daemon_lost_together_count(on_bench):
    async def scenario(bench):
        results = []
        for number in range(3):
            asked = asyncio.ensure_future(bench.poison(bench.entries[0], f"p{number}"))
            while not asked.done():
                await asyncio.sleep(0.01)
                for name, engine in bench.fleet.engines.items():
                    if engine.dead:
                        bench.fleet.fabric.kill(f"{name}:1")
            results.append(await asked)
        return results, bench.crashes()

    results, crashes = on_bench(scenario)
    assert crashes == 2
    assert results[-1].reason is Reason.QUARANTINED


def test_verdicts_travel_while_the_table_is_down(on_bench):
    async def scenario(bench):
        bench.fleet.claims.faults.down = True
        return await resend_everywhere(bench)

    results, crashes = on_bench(scenario)
    assert crashes == 2
    assert results[-1].reason is Reason.QUARANTINED


def test_verdict_survives_the_replacement_of_all_daemons_in_the_table(on_bench):
    async def scenario(bench):
        await bench.poison(bench.entries[0], "p0")
        await asyncio.sleep(5.0)
        entry = await bench.fleet.add_entry("entry9")
        return await bench.poison(entry, "p1"), bench.crashes()

    result, crashes = on_bench(scenario)
    assert result.reason is Reason.QUARANTINED
    assert crashes == 2


def test_lifted_content_is_served_until_it_crashes_again(on_bench):
    async def scenario(bench):
        await bench.poison(bench.entries[0], "p0")
        verdict = bench.entries[0].quarantine.verdicts()[0]
        catalogue = bench.fleet.catalogue
        lift = QuarantineLift(verdict.fingerprint, 1)
        catalogue.apply(Change(catalogue.version + 1, "lift", verdict.fingerprint, lift))
        listed = bench.entries[0].quarantine.verdicts()
        await asyncio.sleep(20.0)
        await bench.poison(bench.entries[1], "p1")
        return listed, bench.crashes()

    listed, crashes = on_bench(scenario)
    assert listed == []
    assert crashes == 4


async def flood(bench, entries, copies=20):
    """Send copies of the crashing content through each entry at once; return the crashes."""
    asked = [
        bench.poison(entry, f"p{n}-{e}") for e, entry in enumerate(entries) for n in range(copies)
    ]
    results = await asyncio.gather(*asked)
    assert not any(isinstance(result, Answer) for result in results)
    return bench.crashes()


def test_copies_sent_at_once_cost_two_engines(on_bench):
    assert on_bench(lambda bench: flood(bench, bench.entries[:1])) == 2
    assert on_bench(lambda bench: flood(bench, bench.entries)) == 2


def test_without_a_leading_copy_a_flood_costs_more(on_bench, monkeypatch):
    async def all_at_once(self, fingerprint, remaining):
        return False

    monkeypatch.setattr(FirstCopyGate, "wait_or_lead", all_at_once)
    assert on_bench(lambda bench: flood(bench, bench.entries)) > 2


async def resend_repeatedly(bench, random, number, refusals):
    """Resend the crashing content as soon as it is refused, through random entries."""
    for turn in range(8):
        entry = random.choice(bench.entries)
        refusals.append(await bench.poison(entry, f"n{number}-{turn}", deadline=20.0))


async def inject_faults(bench, random):
    """Inject random faults of the table and silence random links until cancelled."""
    names = [f"e{number}:1" for number in range(ENGINES)]
    faults = bench.fleet.claims.faults
    while True:
        faults.down, faults.lose_answers = random.random() < 0.3, random.random() < 0.3
        pair = [random.choice(names), f"entry{random.randrange(2)}:1"]
        random.shuffle(pair)
        bench.fleet.fabric.silence(*pair)
        await asyncio.sleep(random.uniform(0.5, 4.0))


async def run_with_resends(bench, seed):
    """Run other requests beside a caller that resends; return crashes and outcomes."""
    random = Random(seed)
    refusals = []
    faults = asyncio.create_task(inject_faults(bench, random))
    resending = asyncio.create_task(resend_repeatedly(bench, random, 0, refusals))
    asked = []
    for number in range(60):
        entry = random.choice(bench.entries)
        asked.append(asyncio.ensure_future(bench.fleet.send_request(entry, 100 + number, 500)))
        await asyncio.sleep(random.expovariate(4.0))
    answers = await asyncio.gather(*asked)
    await resending
    faults.cancel()
    return bench.crashes(), answers, refusals


@pytest.mark.parametrize("seed", range(1, 7))
def test_nagging_caller_under_faults(on_bench, seed):
    crashes, answers, refusals = on_bench(lambda bench: run_with_resends(bench, seed))
    assert crashes <= 2
    assert all(isinstance(answer, Answer) for answer in answers)
    assert not any(isinstance(refusal, Answer) for refusal in refusals)


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(100, 200))
def test_nagging_caller_under_faults_for_long(on_bench, seed):
    crashes, answers, _ = on_bench(lambda bench: run_with_resends(bench, seed))
    assert crashes <= 2
    assert all(isinstance(answer, Answer) for answer in answers)
