"""Planned stops of real processes under load: no request is cut."""

import asyncio
import signal
import time

import attrs
import pytest

from persimmonstall_cli.load.plan import Load
from persimmonstall_cli.load.run import run_load
from persimmonstall_standins.process_site import ProcessSite, status_of, wait_until

pytestmark = pytest.mark.processes

LOAD = Load(
    rate=5.0, seconds=4.0, mix="500-4k:25,150k:1", asked=300, model="m", seed=7, deadline=300
)
EXIT_SECONDS = 60.0


@pytest.fixture
def site(tmp_path):
    changes = {"daemon": {"linger": 1.5}, "platform": {"list_poll": 0.5, "poll": 0.5}}
    with ProcessSite(tmp_path, changes) as made:
        made.start_platform(list_lag=0.5)
        for name in ("d1", "d2", "d3"):
            made.add_engine_daemon(name, speed=4)
        for name in ("e1", "e2"):
            made.add_entry(name)
        made.configure(made.daemons["e1"])
        for name in ("e1", "e2"):
            wait_until(lambda name=name: status_of(made.daemons[name].url + "/readyz") == 200)
        time.sleep(2)
        yield made


class Balancer:
    """URLs of the entries that are ready, as the platform's balancer would choose them."""

    def __init__(self, site):
        self.site = site
        self.ready = []

    def __len__(self):
        return len(self.ready)

    def __getitem__(self, index):
        return self.ready[index]

    async def watch(self):
        while True:
            names = [
                n for n, d in self.site.daemons.items() if d.settings["daemon"]["role"] == "entry"
            ]
            urls = [self.site.daemons[name].url for name in names]
            found = [await asyncio.to_thread(status_of, url + "/readyz") for url in urls]
            self.ready = [url for url, status in zip(urls, found, strict=True) if status == 200]
            await asyncio.sleep(0.1)


async def under_load(site, stops):
    """Run loads one after the other until `stops(site)` is done in its thread."""
    balancer = Balancer(site)
    watch = asyncio.create_task(balancer.watch())
    while not balancer.ready:
        await asyncio.sleep(0.05)
    stopping = asyncio.create_task(asyncio.to_thread(stops, site))
    loads = []
    while not (stopping.done() and loads):
        load = attrs.evolve(LOAD, seed=LOAD.seed + len(loads))
        loads.append(asyncio.create_task(run_load(load, balancer, site.key, 4000)))
        await asyncio.sleep(LOAD.seconds)
    await stopping
    results = [one for load in loads for one in await load]
    watch.cancel()
    return results


def terminate(daemon, twice=False):
    daemon.process.send_signal(signal.SIGTERM)
    if twice:
        time.sleep(0.3)
        daemon.process.send_signal(signal.SIGTERM)


def cut(results):
    return [
        (one.planned.tokens, one.status, one.code, one.outcome) for one in results if not one.whole
    ]


def test_sigterm_cuts_no_request_also_when_sent_twice(site):
    def stops(site):
        time.sleep(1)
        terminate(site.daemons["d1"], twice=True)
        terminate(site.daemons["e1"], twice=True)
        assert site.daemons["e1"].process.wait(EXIT_SECONDS) == 0
        assert site.daemons["d1"].process.wait(EXIT_SECONDS) == 0

    results = asyncio.run(under_load(site, stops))
    assert len(results) > 20
    assert any(one.planned.tokens > 100_000 for one in results)
    assert cut(results) == []


def test_a_rolling_replacement_of_all_daemons_cuts_no_request(site):
    def stops(site):
        for old, new in (("d1", "n1"), ("d2", "n2"), ("d3", "n3")):
            site.add_engine_daemon(new, speed=4)
            time.sleep(1.5)
            terminate(site.daemons[old])
            assert site.daemons[old].process.wait(EXIT_SECONDS) == 0
        for old, new in (("e1", "f1"), ("e2", "f2")):
            site.add_entry(new)
            wait_until(lambda new=new: status_of(site.daemons[new].url + "/readyz") == 200)
            time.sleep(1.5)
            terminate(site.daemons[old])
            assert site.daemons[old].process.wait(EXIT_SECONDS) == 0

    results = asyncio.run(under_load(site, stops))
    assert cut(results) == []


def test_killing_without_a_planned_stop_is_noticed(site):
    """The check above sees a cut: a killed entry loses its callers' streams."""

    def stops(site):
        time.sleep(1)
        site.daemons["e1"].process.kill()

    results = asyncio.run(under_load(site, stops))
    assert cut(results) != []
