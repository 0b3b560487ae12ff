"""Orders to engines on virtual time: leases, fencing, repair, weight store and rollouts."""

import asyncio
from random import Random

import attrs
import pytest

from persimmonstall.catalogue import Adapter, Catalogue, Change, Model, Placement
from persimmonstall.catalogue.snapshot import kind_of
from persimmonstall.clock import Context
from persimmonstall.messages import requests
from persimmonstall.settings import Settings
from persimmonstall_daemon.entry.request import Answer
from persimmonstall_daemon.observe.metrics import Metrics
from persimmonstall_daemon.orders import OrderReconciler, WeightVersions
from persimmonstall_standins.engine import EngineModel
from persimmonstall_standins.engine_state import EngineSettings
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.virtual.loop import run
from persimmonstall_standins.weights import MemoryWeights, WeightLimits

LEASE_AND_PAUSE = 30.0


class EditableFollower:
    """A follower whose catalogue the test changes."""

    def __init__(self, catalogue=None):
        self.current = catalogue or Catalogue()
        self.queues = []

    def subscribe(self):
        self.queues.append(asyncio.Queue())
        return self.queues[-1]

    def unsubscribe(self, queue):
        self.queues.remove(queue)

    def put(self, *records):
        for record in records:
            version = self.current.version + 1
            self.current.apply(Change(version, kind_of(record), record.name, record))
        for queue in self.queues:
            queue.put_nowait(None)


class SlowOrders:
    """An engine as seen by a daemon that pauses for `pause` seconds before each order."""

    def __init__(self, engine, pause):
        self.engine = engine
        self.pause = pause
        self.load = engine.load

    async def order(self, order, timeout):
        await asyncio.sleep(self.pause)
        return await self.engine.order(order, timeout)


class DaemonHarness:
    """One daemon run with an engine, reduced to what `OrderReconciler` uses."""

    def __init__(self, site, run_id, engine, follower=None):
        loop = asyncio.get_running_loop()
        self.settings = site.settings
        self.context = Context(loop.time, loop.time, Random(run_id))
        self.metrics = Metrics(site.settings)
        self.run_id = run_id
        self.daemon = self
        self.name = "e"
        self.engine = engine
        self.versions = WeightVersions()
        self.in_use = set()
        follower = follower or site.follower
        self.reconciler = OrderReconciler(self, site.table, site.weights, follower)
        self.task = asyncio.create_task(self.reconciler.run())

    def artifacts_in_use(self):
        return self.in_use


class Site:
    def __init__(self, check_fence=True, grants=2):
        self.settings = Settings()
        self.table = MemoryTable()
        self.weights = MemoryWeights(WeightLimits(grants=grants, expiry=60.0))
        self.follower = EditableFollower()
        self.engine = EngineModel("e", EngineSettings(models=("m",), check_fence=check_fence))


def test_an_engine_is_brought_to_what_the_catalogue_wants():
    async def main():
        site = Site()
        harness = DaemonHarness(site, "a", site.engine)
        site.follower.put(Model("m", version="2"), Adapter("x", "m"))
        site.follower.put(Placement("e", ("m",), ("x",), "decode"))
        await asyncio.sleep(60.0)
        artifacts = site.engine.artifacts
        assert (artifacts.models, artifacts.adapters) == ({("m", "2")}, {("x", "1")})
        assert artifacts.role == "decode" and not site.weights.holders
        reads = site.table.call_counter.total["reads"]
        await asyncio.sleep(60.0)
        assert site.table.call_counter.total["reads"] == reads, "no reads while nothing differs"
        harness.task.cancel()

    run(main())


async def paused_holder(check_fence, pause_bound, repair=True):
    """Run a daemon that pauses before sending an order, and another one that takes over.

    Return the fencing numbers of the orders as they arrived, and the engine's final role.
    """
    site = Site(check_fence)
    site.settings.orders.pause_bound = pause_bound
    follower = EditableFollower()
    for catalogue_follower in (site.follower, follower):
        catalogue_follower.put(
            Model("m"), Placement("e", ("m",), (), "prefill", fence_checked=check_fence)
        )
    old = DaemonHarness(site, "old", SlowOrders(site.engine, 15.0))
    await asyncio.sleep(0.5)
    follower.put(Placement("e", ("m",), (), "decode", fence_checked=check_fence))
    new = DaemonHarness(site, "new", site.engine, follower)
    await asyncio.sleep(14.0)
    old.reconciler.reconcile = lambda: asyncio.sleep(1.0)
    if not repair:
        new.reconciler.reconcile = lambda: asyncio.sleep(1.0)
    await asyncio.sleep(60.0)
    for harness in (old, new):
        harness.task.cancel()
    fences = [int(line.detail.split()[-1]) for line in site.engine.log if line.event == "ordered"]
    return fences, site.engine.artifacts.role


def test_a_paused_holder_of_an_engine_that_ignores_the_fence_comes_before_its_successor():
    fences, role = run(paused_holder(check_fence=False, pause_bound=20.0))
    assert fences == sorted(fences) and fences[-1] == 2 and role == "decode"


def test_without_the_pause_bound_its_order_comes_late_and_without_repair_stays():
    fences, role = run(paused_holder(check_fence=False, pause_bound=0.0, repair=False))
    assert fences == [2, 1] and role == "prefill"


def test_reading_back_repairs_a_late_order():
    fences, role = run(paused_holder(check_fence=False, pause_bound=0.0))
    assert fences == [2, 1, 2] or fences == [2, 1, 3]
    assert role == "decode"


def test_an_engine_that_checks_the_fence_refuses_the_late_order():
    fences, role = run(paused_holder(check_fence=True, pause_bound=0.0, repair=False))
    assert fences == [2] and role == "decode"


async def random_pauses(seed, pause_bound):
    """Run two daemons with different, changing catalogues and pauses of up to 18 s.

    Return the fencing numbers as they arrived and whether the last placement is in effect.
    """
    random = Random(seed)
    site = Site(check_fence=False)
    site.settings.orders.pause_bound = pause_bound
    followers = (EditableFollower(), EditableFollower())
    engines = [SlowOrders(site.engine, 0.0) for _ in followers]
    harnesses = [
        DaemonHarness(site, f"run{number}", engine, follower)
        for number, (engine, follower) in enumerate(zip(engines, followers, strict=True))
    ]
    for _ in range(60):
        placement = Placement("e", ("m",), (), random.choice(("mixed", "prefill", "decode")))
        for follower, engine in zip(followers, engines, strict=True):
            engine.pause = random.choice((0.0, 0.0, 4.0, 18.0))
            follower.put(Model("m"), attrs.evolve(placement, fence_checked=False))
            await asyncio.sleep(random.uniform(0.0, 3.0))
        site.table.faults.lose_answers = random.random() < 0.2
        await asyncio.sleep(random.uniform(0.0, 20.0))
    site.table.faults.lose_answers = False
    for engine in engines:
        engine.pause = 0.0
    await asyncio.sleep(120.0)
    for harness in harnesses:
        harness.task.cancel()
    fences = [int(line.detail.split()[-1]) for line in site.engine.log if line.event == "ordered"]
    return fences, site.engine.artifacts.role == placement.role


@pytest.mark.parametrize("seed", range(4))
def test_under_random_pauses_within_the_bound_no_older_order_comes_late(seed, record_property):
    fences, settled = run(random_pauses(seed, 20.0))
    assert len(set(fences)) > 5 and fences == sorted(fences) and settled
    record_property("steps", len(fences))
    record_property("faults", 60)


@pytest.mark.soak
@pytest.mark.parametrize("seed", range(1000, 1100))
def test_under_many_random_pauses_no_older_order_comes_late(seed, record_property):
    fences, settled = run(random_pauses(seed, 20.0))
    assert fences == sorted(fences) and settled
    record_property("steps", len(fences))
    record_property("faults", 60)


def test_without_the_pause_bound_random_pauses_bring_an_older_order_late():
    runs = [run(random_pauses(seed, 0.0))[0] for seed in range(4)]
    assert any(fences != sorted(fences) for fences in runs)


@pytest.mark.parametrize("fault", ["lose_answers", "apply_late", "down"])
def test_orders_go_on_after_faults_of_the_table(fault):
    async def main():
        site = Site()
        setattr(site.table.faults, fault, True)
        harness = DaemonHarness(site, "a", site.engine)
        site.follower.put(Model("m"), Placement("e", ("m",), (), "decode"))
        await asyncio.sleep(30.0)
        setattr(site.table.faults, fault, False)
        await asyncio.sleep(30.0)
        assert site.engine.artifacts.role == "decode"
        harness.task.cancel()

    run(main())


async def load_everywhere(backoff, count=40):
    site = Site(grants=2)
    site.settings.orders.backoff_base = backoff
    site.settings.orders.backoff_cap = 30.0 if backoff else 0.0
    site.follower.put(Model("m", version="2"), Placement("e", ("m",)))
    engines = [EngineModel(f"e{n}", EngineSettings(models=("m",))) for n in range(count)]
    harnesses = [DaemonHarness(site, f"run{n}", engine) for n, engine in enumerate(engines)]
    await asyncio.sleep(900.0)
    for harness in harnesses:
        harness.task.cancel()
    return site, [engine.artifacts.models for engine in engines]


def test_a_new_version_does_not_stampede_to_the_weight_store():
    site, models = run(load_everywhere(1.0))
    assert site.weights.max_concurrent <= 2
    assert all(one == {("m", "2")} for one in models)
    calm = site.weights.call_counter.total["writes"]
    site, _ = run(load_everywhere(0.0))
    assert site.weights.call_counter.total["writes"] > 3 * calm


async def roll_out(fleet, entry, tracked):
    """Change a model's version during streams; return answers, loaded models, cut streams."""
    catalogue_follower = EditableFollower(fleet.catalogue)
    table, weights = MemoryTable(), MemoryWeights()
    catalogue_follower.put(*(Placement(name, ("m",)) for name in fleet.daemons))
    reconcilers = []
    for daemon in fleet.daemons.values():
        for backend in daemon.backends.values():
            if not tracked:
                backend.artifacts_in_use = set
            reconcilers.append(OrderReconciler(backend, table, weights, catalogue_follower))
    tasks = [asyncio.create_task(reconciler.run()) for reconciler in reconcilers]
    await asyncio.sleep(3.0)
    asks = []
    for number in range(40):
        asks.append(asyncio.create_task(fleet.send_request(entry, number, 2000, max_tokens=2000)))
        await asyncio.sleep(1.0)
        if number == 5:
            catalogue_follower.put(
                attrs.evolve(catalogue_follower.current.get("model", "m"), version="2")
            )
    answers = await asyncio.gather(*asks)
    await asyncio.sleep(60.0)
    for task in tasks:
        task.cancel()
    loaded = [engine.artifacts.models for engine in fleet.engines.values()]
    cut = sum(
        line.event == "finished" and "cancelled" in line.detail
        for engine in fleet.engines.values()
        for line in engine.log
    )
    return answers, loaded, cut


def test_a_rollout_cuts_no_stream(on_fleet):
    async def scenario(fleet, entry):
        return await roll_out(fleet, entry, tracked=True)

    answers, loaded, cut = on_fleet(scenario)
    assert [one for one in answers if not isinstance(one, Answer)] == []
    assert loaded == [{("m", "2")}] * 3 and cut == 0


async def lose_an_engine_during_a_rollout(fleet, entry, version_reported):
    """Kill an engine during a rollout; return the versions used by each answer."""
    used = {}
    for engine in fleet.engines.values():

        async def submit(job, timeout, start=engine.submit):
            used.setdefault(job.job_id.split("/")[1], set()).add(job.version)
            return await start(job, timeout)

        engine.submit = submit
    if not version_reported:
        for link in entry.links.by_instance.values():
            del link.handlers[requests.Started]
    asyncio.get_running_loop().call_later(23.5, fleet.engines["e2"].die)
    await roll_out(fleet, entry, tracked=True)
    return used


@pytest.mark.parametrize("version_reported", [True, False])
def test_an_answer_resumed_during_a_rollout_is_of_one_version(on_fleet, version_reported):
    """If the version is not reported, an answer is resumed with another version's tokens."""

    async def scenario(fleet, entry):
        return await lose_an_engine_during_a_rollout(fleet, entry, version_reported)

    used = on_fleet(scenario)
    mixed = [request for request, versions in used.items() if len(versions) > 1]
    assert {version for versions in used.values() for version in versions} == {"1", "2"}
    assert bool(mixed) is not version_reported


def test_without_tracking_what_runs_a_rollout_cuts_streams(on_fleet):
    async def scenario(fleet, entry):
        return await roll_out(fleet, entry, tracked=False)

    assert on_fleet(scenario)[2] > 0
