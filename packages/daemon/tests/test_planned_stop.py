"""Graceful shutdown of real processes under load interrupts no request."""

import asyncio
import time

import attrs
import pytest

from persimmonstall_cli.load.plan import LoadOptions
from persimmonstall_cli.load.run import run_load
from persimmonstall_standins.growing_deployment import GrowingDeployment

pytestmark = pytest.mark.processes

LOAD = LoadOptions(
    rate=5.0, seconds=4.0, mix="500-4k:25,150k:1", max_tokens=300, model="m", seed=7, deadline=300
)
EXIT_SECONDS = 60.0


@pytest.fixture
def site(tmp_path):
    with GrowingDeployment(tmp_path, speed=4) as made:
        made.add_platform()
        for name in ("d1", "d2", "d3"):
            made.add_engine_daemon(name)
        for name in ("entry1", "entry2"):
            made.add_entry(name)
        made.configure()
        for name in ("entry1", "entry2"):
            made.wait_until(lambda name=name: made.serving(name), f"answers of {name}")
        yield made


class Balancer:
    """The URLs of the entries whose readiness check passes, like a load balancer's target list."""

    def __init__(self, site):
        self.site = site
        self.ready = []

    def __len__(self):
        return len(self.ready)

    def __getitem__(self, index):
        return self.ready[index]

    async def watch(self):
        while True:
            names = list(self.site.http)
            found = [await asyncio.to_thread(self.site.ready, name) for name in names]
            pairs = zip(names, found, strict=True)
            self.ready = [self.site.http[name] for name, ready in pairs if ready]
            await asyncio.sleep(0.1)


async def under_load(site, stops):
    """Start a new load every few seconds until `stops(site)` is done in its thread.

    Return the results of all loads.
    """
    balancer = Balancer(site)
    watch = asyncio.create_task(balancer.watch())
    while not balancer.ready:
        await asyncio.sleep(0.05)
    stopping = asyncio.create_task(asyncio.to_thread(stops, site))
    loads = []
    while not (stopping.done() and loads):
        load = attrs.evolve(LOAD, seed=LOAD.seed + len(loads))
        loads.append(asyncio.create_task(run_load(load, balancer, site.caller_key, 4000)))
        await asyncio.sleep(LOAD.seconds)
    await stopping
    results = [one for load in loads for one in await load]
    watch.cancel()
    return results


def stop(site, *names, twice=False):
    """Shut daemons down gracefully and wait until they have exited."""
    for name in names:
        site.terminate(name)
    if twice:
        time.sleep(0.3)
        for name in names:
            site.terminate(name)
    for name in names:
        assert site.wait(name, EXIT_SECONDS) == 0


def interrupted(results):
    return [
        (one.planned.tokens, one.status, one.code, one.outcome) for one in results if not one.whole
    ]


def test_sigterm_interrupts_no_request_even_when_sent_twice(site):
    def stops(site):
        time.sleep(1)
        stop(site, "d1", "entry1", twice=True)

    results = asyncio.run(under_load(site, stops))
    assert len(results) > 20
    assert any(one.planned.tokens > 100_000 for one in results)
    assert interrupted(results) == []


def test_a_rolling_replacement_of_all_daemons_interrupts_no_request(site):
    def stops(site):
        for old, new in (("d1", "n1"), ("d2", "n2"), ("d3", "n3")):
            site.add_engine_daemon(new)
            time.sleep(1.5)
            stop(site, old)
        for old, new in (("entry1", "entry3"), ("entry2", "entry4")):
            site.add_entry(new)
            site.wait_until(lambda new=new: site.serving(new), f"answers of {new}")
            stop(site, old)

    results = asyncio.run(under_load(site, stops))
    assert interrupted(results) == []


def test_killing_without_a_planned_stop_is_noticed(site):
    """Shows that `interrupted` detects interruptions: a killed entry loses callers' streams."""

    def stops(site):
        time.sleep(1)
        site.kill("entry1")

    results = asyncio.run(under_load(site, stops))
    assert interrupted(results) != []
