"""One organisation's limits over several entries, with message delay and loss."""

import heapq
from random import Random

import pytest

from persimmonstall.catalogue.records import Organisation
from persimmonstall.invariants import Invariants
from persimmonstall.limits import BudgetOwner, FairShare, Limiter
from persimmonstall.membership.rendezvous import owner
from persimmonstall.settings import Settings

DELAY = 0.005
SETTINGS = Settings()


class Entries:
    """Simulated entries that exchange budget messages in virtual time."""

    def __init__(self, count, organisation, seed=1):
        self.random = Random(seed)
        self.organisation = organisation
        self.live = {}
        self.partitioned = set()
        self.admitted = []
        self.charges = {}
        self.now = 0.0
        self.events = []
        self.order = 0
        self.entries_changed_at = -1e9
        self.sent = 0
        for index in range(count):
            self.start(f"e{index}")

    def start(self, name):
        invariants = Invariants(strict=True)
        self.live[name] = (Limiter(SETTINGS, invariants), BudgetOwner(SETTINGS, invariants))
        self.entries_changed_at = self.now

    def kill(self, name):
        del self.live[name]
        self.entries_changed_at = self.now
        self.charges = {key: held for key, held in self.charges.items() if held[0] != name}

    def at(self, when, action, *arguments):
        self.order += 1
        heapq.heappush(self.events, (when, self.order, action, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until

    def budget_owner(self, name=None):
        return owner(self.organisation.name, list(self.live))

    def request(self, name, tokens=100, hold=0.5, retry=False):
        if name not in self.live:
            return
        limiter = self.live[name][0]
        budget_owner = self.budget_owner()
        result = limiter.admit(
            self.organisation, tokens, len(self.live), budget_owner, self.now, retry
        )
        if result:
            self.admitted.append((self.now, name, tokens))
            self.charges[id(result)] = (name, result)
            self.at(self.now + hold, self.finish, id(result))
            return
        self.post(name, result.owner, result.budget_request)
        if not retry:
            self.at(
                self.now + SETTINGS.limits.wait + 0.001, self.request, name, tokens, hold, True
            )

    def finish(self, key):
        if key in self.charges:
            name, charge = self.charges.pop(key)
            self.live[name][0].settle(charge, charge.tokens, self.now)

    def post(self, name, budget_owner, budget_request):
        if budget_request is not None:
            self.sent += 1
            if not {name, budget_owner} & self.partitioned:
                self.at(self.now + DELAY, self.lend, name, budget_owner, budget_request)

    def lend(self, name, budget_owner, budget_request):
        if budget_owner in self.live:
            lease = self.live[budget_owner][1].lend(
                budget_request,
                name,
                self.organisation,
                len(self.live),
                self.now,
                self.entries_changed_at,
            )
            self.at(self.now + DELAY, self.lease, name, lease)

    def lease(self, name, lease):
        if name in self.live:
            self.live[name][0].on_lease(lease, self.now)

    def tick(self):
        for name, (limiter, budget_owner) in list(self.live.items()):
            for peer, budget_request in limiter.tick(self.budget_owner, self.now):
                self.post(name, peer, budget_request)
            budget_owner.evict(self.now)
        self.at(self.now + 1.0, self.tick)

    def offer(self, rates, start, end, hold=0.5, tokens=100):
        """Schedule Poisson arrivals at each entry, at the given rate."""
        for name, rate in rates.items():
            when = start
            while rate and (when := when + self.random.expovariate(rate)) < end:
                self.at(when, self.request, name, tokens, hold)

    def in_window(self, start, end):
        return sum(1 for when, _, _ in self.admitted if start <= when < end)


@pytest.fixture
def rated():
    return Organisation("acme", requests_per_second=40.0)


def test_unused_budget_is_usable_at_one_entry(rated):
    entries = Entries(4, rated)
    entries.offer({"e0": 100.0}, 0.0, 20.0)
    entries.at(0.0, entries.tick)
    entries.run(20.0)
    rate = entries.in_window(5.0, 20.0) / 15.0
    own_shares_of_others = 40.0 * SETTINGS.limits.own_share * 3 / 4
    assert 0.9 * (40.0 - own_shares_of_others) <= rate <= 40.0


def test_all_entries_together_keep_the_limit(rated):
    entries = Entries(4, rated)
    entries.offer({"e0": 100.0, "e1": 10.0, "e2": 1.0, "e3": 30.0}, 0.0, 20.0)
    entries.at(0.0, entries.tick)
    entries.run(20.0)
    window = entries.in_window(5.0, 20.0)
    assert 0.9 * 40 * 15 <= window <= 40 * 15 + 40 * SETTINGS.limits.burst + 4
    small = sum(1 for when, name, _ in entries.admitted if name == "e2" and when >= 5)
    assert small >= 8


@pytest.mark.parametrize("fault", ["kill_owner", "isolate_owner", "isolate_other", "replace_all"])
@pytest.mark.parametrize("seed", range(3))
def test_overshoot_is_bounded_under_faults(rated, fault, seed):
    entries = Entries(4, rated, seed)
    names = [f"e{i}" for i in range(4)] + [f"n{i}" for i in range(4)]
    entries.offer(dict.fromkeys(names, 60.0), 0.0, 30.0)
    entries.at(0.0, entries.tick)
    entries.run(10.0)
    budget_owner = entries.budget_owner()
    other = next(name for name in entries.live if name != budget_owner)
    replaced = 0
    if fault == "kill_owner":
        entries.kill(budget_owner)
    elif fault == "replace_all":
        replaced = 4
        for index in range(4):
            entries.at(10.0 + index, entries.kill, f"e{index}")
            entries.at(10.0 + index, entries.start, f"n{index}")
    else:
        entries.partitioned.add(budget_owner if fault == "isolate_owner" else other)
    entries.run(30.0)
    settings = SETTINGS.limits
    unreachable = {"isolate_owner": 3, "isolate_other": 1}.get(fault, 0)
    rate = 40.0 * (1 + (1 - settings.own_share) * unreachable / 4)
    burst = 40.0 * settings.burst + 4
    owners = 1 + (fault == "kill_owner") + replaced
    window = entries.in_window(10.0, 30.0)
    assert window <= 20 * rate + burst * owners
    assert window >= 0.2 * 40 * 20


def test_limit_is_exceeded_without_leases(rated):
    """Control for the tests above: without leases, each entry applies the whole limit itself."""
    entries = Entries(4, rated)
    for limiter, _ in entries.live.values():
        limiter.settings = Settings()
        limiter.settings.limits.own_share = 4.0
        limiter.settings.limits.wait = 1e9
    entries.offer(dict.fromkeys(entries.live, 100.0), 0.0, 10.0)
    entries.run(10.0)
    assert entries.in_window(2.0, 10.0) > 3 * 40 * 8


@pytest.mark.parametrize("fault", ["none", "kill_owner", "replace_all"])
def test_concurrency_limit_is_kept(fault):
    organisation = Organisation("acme", concurrency=10)
    entries = Entries(4, organisation)
    names = [f"e{i}" for i in range(4)] + [f"n{i}" for i in range(4)]
    entries.offer(dict.fromkeys(names, 20.0), 0.0, 30.0, hold=2.0)
    entries.at(0.0, entries.tick)
    most = 0
    for second in range(1, 300):
        if second == 100 and fault == "kill_owner":
            entries.kill(entries.budget_owner())
        if fault == "replace_all" and second in (100, 120, 140, 160):
            index = (second - 100) // 20
            entries.kill(f"e{index}")
            entries.start(f"n{index}")
        entries.run(second / 10)
        most = max(most, len(entries.charges))
    if fault == "none":
        assert 9 <= most <= 10
    assert most <= 20


def test_prompt_above_the_burst_is_admitted_and_charged():
    organisation = Organisation("acme", tokens_per_second=10_000.0)
    entries = Entries(2, organisation)
    entries.request("e0", tokens=100_000)
    entries.run(1.0)
    assert len(entries.admitted) == 1
    entries.request("e1", tokens=9_000)
    entries.run(2.0)
    assert len(entries.admitted) == 1
    entries.run(12.6)
    entries.request("e1", tokens=5_000)
    entries.run(13.0)
    assert len(entries.admitted) == 2


def test_refusal_has_a_retry_after(rated):
    limiter = Limiter(SETTINGS, Invariants(strict=True))
    assert limiter.admit(rated, 1, 4, "k", 0.0)
    for _ in range(3):
        limiter.admit(rated, 1, 4, "k", 0.0)
    insufficient = limiter.admit(rated, 1, 4, "k", 0.0)
    assert insufficient.refusal.retry_after == pytest.approx(0.5)
    assert limiter.admit(rated, 1, 4, "k", 0.51)


def test_idle_organisations_are_evicted_without_budget_requests():
    limiter = Limiter(SETTINGS, Invariants(strict=True))
    charges = [
        limiter.admit(Organisation(f"o{index}", requests_per_second=50), 1, 4, "k", 0.0)
        for index in range(100)
    ]
    for charge in charges:
        limiter.settle(charge, 1, 1.0)
    budget_requests = [limiter.tick(lambda name: "k", 2.0 + second) for second in range(20)]
    assert budget_requests == [[]] * 20
    assert limiter.accounts == {}


def test_pressure_limits_the_largest_and_the_least_urgent():
    fair = FairShare(SETTINGS, 0.0)
    large = Organisation("large", priority=5)
    small = Organisation("small", priority=5)
    urgent = Organisation("urgent", priority=0)
    refused = dict.fromkeys(("large", "small", "urgent"), 0)
    for step in range(400):
        now = step / 20
        if step % 2:
            fair.record_no_capacity(now)
        for organisation, tokens in ((large, 1000), (small, 100), (urgent, 500)):
            if not fair.admit(organisation, tokens, now):
                refused[organisation.name] += 1
    assert refused["large"] > 100
    assert refused["small"] == 0
    assert refused["urgent"] < refused["large"] / 4


def test_without_pressure_no_request_is_refused():
    fair = FairShare(SETTINGS, 0.0)
    assert all(fair.admit(Organisation("large"), 1e6, step / 100) for step in range(1000))
