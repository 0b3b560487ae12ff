"""Measures processor time and memory of the decision code, by number of peers or records."""

import gc
import time
import tracemalloc
from random import Random

from persimmonstall.burn import BurnRecorder, RequestResult
from persimmonstall.catalogue import Catalogue, Change, Model, Organisation
from persimmonstall.catalogue.snapshot import encode_change
from persimmonstall.invariants import Invariants
from persimmonstall.limits import BudgetOwner, FairShare, Limiter
from persimmonstall.membership import MembershipView, subset_of
from persimmonstall.membership.rendezvous import owner
from persimmonstall.messages import control
from persimmonstall.messages.codec import encode
from persimmonstall.outside.instances import Instance
from persimmonstall.settings import Settings
from persimmonstall_daemon.admin.operators import hash_key

from .fit import fit

KILOBYTE = 1024.0
MICRO = 1e6
ORGANISATIONS = (800, 1600, 3200, 6300)
DAEMONS = (100, 200, 300, 400)
MODELS = (3, 9, 27, 81)
VERSIONS = (200, 400, 800, 1600)
ENTRIES = 40
REPEATS = 3


def memory_kb(build):
    """Return the memory held by the result of `build()`, in kilobytes."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / KILOBYTE


def cpu_seconds(action):
    """Return the shortest processor time of REPEATS runs of `action()`."""
    best = float("inf")
    for _ in range(REPEATS):
        start = time.process_time()
        action()
        best = min(best, time.process_time() - start)
    return best


def make_organisation(number):
    """Return an organisation with limits and two keys."""
    keys = tuple(hash_key(f"{number}/{key}") for key in range(2))
    return Organisation(
        f"organisation-{number:05d}",
        key_hashes=keys,
        requests_per_second=20.0,
        tokens_per_second=100_000.0,
        concurrency=50,
    )


def make_catalogue(organisations, models=9):
    """Return a catalogue with the given numbers of organisations and models."""
    catalogue = Catalogue()
    for number in range(models):
        catalogue.apply(Change(catalogue.version + 1, "model", f"m{number}", Model(f"m{number}")))
    for number in range(organisations):
        record = make_organisation(number)
        catalogue.apply(Change(catalogue.version + 1, "organisation", record.name, record))
    return catalogue


def make_limits(count):
    """Return (limiter, budget owner, fair share) with `count` active organisations."""
    settings = Settings()
    invariants = Invariants()
    limiter = Limiter(settings, invariants)
    budget_owner = BudgetOwner(settings, invariants)
    fair = FairShare(settings, 0.0)
    for number in range(count):
        record = make_organisation(number)
        fair.admit(record, 2000, 0.0)
        limiter.admit(record, 2000, ENTRIES, "k", 0.0)
        request = control.BudgetRequest(record.name, 1, 1.0, 2000.0, 2000.0, 1)
        budget_owner.lend(request, "e1", record, ENTRIES, 0.0)
    return limiter, budget_owner, fair


def make_burn_recorder(count):
    """Return a burn recorder with counts of `count` organisations in two length classes."""
    recorder = BurnRecorder(Settings())
    for number in range(count):
        for name in ("short", "long"):
            served = RequestResult(f"organisation-{number:05d}", name, 0.1, 0.05)
            recorder.record(served, 0.0)
    return recorder


def make_instances(role, count, prefix):
    """Return `count` instances spread over seven data centres."""
    return [
        Instance(
            f"{prefix}{number:04d}",
            role,
            f"10.0.{number // 250}.{number % 250}:7000",
            f"dc{number % 7}",
            f"r{number % 3}",
            endpoints=(f"{prefix}{number:04d}-a", f"{prefix}{number:04d}-b"),
        )
        for number in range(count)
    ]


def make_view(count):
    """Return a membership view of the entries and `count` endpoint daemons."""
    view = MembershipView(Invariants())
    listed = make_instances("entry", ENTRIES, "e") + make_instances("endpoint", count, "d")
    view.on_list(tuple(listed), 0.0)
    return view


def admit_seconds(count):
    """Return the processor time of one admission with `count` active organisations."""
    limiter, _, fair = make_limits(count)
    records = [make_organisation(number) for number in range(count)]
    random = Random(1)
    chosen = [random.choice(records) for _ in range(4000)]

    def run():
        for step, record in enumerate(chosen):
            now = 1.0 + step * 0.05
            fair.admit(record, 200, now)
            charge = limiter.admit(record, 200, ENTRIES, "k", now)
            if charge:
                limiter.settle(charge, 150, now)

    return cpu_seconds(run) / len(chosen)


def lend_seconds(count):
    """Return the processor time of one budget lease with `count` active organisations."""
    _, budget_owner, _ = make_limits(count)
    records = [make_organisation(number) for number in range(count)]

    def run():
        for step in range(4000):
            record = records[step % count]
            request = control.BudgetRequest(record.name, step, 1.0, 200.0, 200.0, 1)
            budget_owner.lend(request, "e1", record, ENTRIES, 1.0 + step * 0.01)

    return cpu_seconds(run) / 4000


def list_seconds(count):
    """Return the processor time of applying an instance list with `count` endpoint daemons."""
    view = make_view(count)
    listed = tuple(make_instances("entry", ENTRIES, "e") + make_instances("endpoint", count, "d"))
    return cpu_seconds(lambda: view.on_list(listed, 1.0))


def subset_seconds(count):
    """Return the processor time of computing the subset of one entry."""
    entries = make_instances("entry", ENTRIES, "e")
    daemons = make_instances("endpoint", count, "d")
    return cpu_seconds(lambda: subset_of("e0001", entries, daemons, 64))


def heartbeat_seconds(count):
    """Return the processor time of handling one Pong with `count` endpoint daemons."""
    view = make_view(count)
    names = [f"d{number:04d}" for number in range(count)]

    def run():
        for step in range(2000):
            name = names[step % count]
            view.on_contact(name, float(step))
            view.on_leaving(name, [])
            view.on_not_leaving(name, [f"{name}-a", f"{name}-b"])

    return cpu_seconds(run) / 2000


def owner_seconds(entries):
    """Return the processor time of finding the entry that owns an organisation's budget."""
    names = [f"e{number:04d}" for number in range(entries)]

    def run():
        for number in range(500):
            owner(f"organisation-{number}", names)

    return cpu_seconds(run) / 500


def make_endpoint_load(number):
    """Return a typical load report of one endpoint."""
    return control.EndpointLoad(
        f"d{number:04d}-a", 12, 3, 123_456, 400_000, 23_456, 0.0213, 12_345, ("model-a",)
    )


def message_bytes():
    """Return the encoded size of each control message in bytes."""
    record = make_organisation(1)
    loads = (make_endpoint_load(1), make_endpoint_load(2))
    change = Change(700, "organisation", record.name, record, "0" * 32, 1.7e9)
    return {
        "Ping": len(encode(control.Ping(123_456, 710))),
        "Pong, 1 endpoint": len(encode(control.Pong(123_456, 710, loads[:1]))),
        "Pong, 2 endpoints": len(encode(control.Pong(123_456, 710, loads))),
        "Loads, 1 endpoint": len(encode(control.Loads(loads[:1]))),
        "Leaving": len(encode(control.Leaving(("d0001-a",)))),
        "BudgetAsk": len(
            encode(control.BudgetRequest(record.name, 99, 2.5, 9000.0, 8000.0, 2, 1))
        ),
        "BudgetLease": len(encode(control.BudgetLease(record.name, 99, 2.5, 9000.0, 2, 30.0))),
        "configuration change": len(encode_change(change)),
        "list entry (JSON)": len(list_bytes(100)) / 100,
    }


def list_bytes(count):
    """Return the platform's list of `count` instances as JSON."""
    import msgspec

    return msgspec.json.encode(make_instances("endpoint", count, "d"))


def measure():
    """Return the fitted slopes and the message sizes."""
    run = "decisions"
    measurements = {
        "catalogue memory": (
            "KB",
            "organisation",
            [(n, memory_kb(lambda n=n: make_catalogue(n))) for n in ORGANISATIONS],
        ),
        "catalogue snapshot": (
            "KB",
            "organisation",
            [(n, len(make_catalogue(n).dump()) / KILOBYTE) for n in ORGANISATIONS],
        ),
        "catalogue memory by model": (
            "KB",
            "model",
            [(n, memory_kb(lambda n=n: make_catalogue(10, n))) for n in MODELS],
        ),
        "configuration log": (
            "KB",
            "version kept",
            [
                (
                    n,
                    memory_kb(
                        lambda n=n: [
                            Change(v, "organisation", "o", make_organisation(v), "c" * 32)
                            for v in range(n)
                        ]
                    ),
                )
                for n in VERSIONS
            ],
        ),
        "limits memory": (
            "KB",
            "active organisation",
            [(n, memory_kb(lambda n=n: make_limits(n))) for n in ORGANISATIONS],
        ),
        "burn memory": (
            "KB",
            "active organisation",
            [(n, memory_kb(lambda n=n: make_burn_recorder(n))) for n in ORGANISATIONS],
        ),
        "view memory": (
            "KB",
            "endpoint daemon",
            [(n, memory_kb(lambda n=n: make_view(n))) for n in DAEMONS],
        ),
        "admission time": (
            "us",
            "active organisation",
            [(n, admit_seconds(n) * MICRO) for n in ORGANISATIONS],
        ),
        "lending time": (
            "us",
            "active organisation",
            [(n, lend_seconds(n) * MICRO) for n in ORGANISATIONS],
        ),
        "list read time": (
            "us",
            "endpoint daemon",
            [(n, list_seconds(n) * MICRO) for n in DAEMONS],
        ),
        "subset time": (
            "us",
            "endpoint daemon",
            [(n, subset_seconds(n) * MICRO) for n in DAEMONS],
        ),
        "heartbeat time in the view": (
            "us",
            "endpoint daemon",
            [(n, heartbeat_seconds(n) * MICRO) for n in DAEMONS],
        ),
        "keeper look-up time": (
            "us",
            "entry",
            [(n, owner_seconds(n) * MICRO) for n in (10, 20, 40, 80)],
        ),
    }
    slopes = [
        fit(name, run, unit, by, points) for name, (unit, by, points) in measurements.items()
    ]
    return slopes, message_bytes()
