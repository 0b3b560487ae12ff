"""What organisations used lately, over all entries, and which of them exceed their fair share.

Each entry counts what it admitted in a rate that decays, and tells the others the rates that
changed.  A later rate of the same entry replaces the earlier one, so that reports can be lost,
repeated or overtake each other.  Nobody owns the counters: what a dead or cut entry reported
decays, and an entry without peers goes by its own calls.
"""

import heapq
import math

import attrs

from ..failures import Failure, Reason
from ..limits.fairness import HORIZON_SECONDS, fair_level, weight_of
from .change_log import ChangeLog
from .datagrams import Kind
from .reports import Report

STEP = "usage"

MAX_ORGANISATIONS = 512
"""Maximum number of organisations whose own usage an entry tells apart; those that used least
lately are counted together."""

MAX_KNOWN = 4096
"""Maximum number of organisations whose usage over all entries is known."""

MAX_REPORTED = 64
"""Maximum number of organisations in one datagram, those that used most."""

OTHERS = ""
"""Name under which organisations are counted together, and calls without an organisation."""

LEVEL_SECONDS = 0.25
"""Time for which the fair level is remembered."""

NEGLIGIBLE_RATE = 0.01
"""Rate, in weights of calls a second, below which an organisation is forgotten."""

FORGET_SECONDS = 6 * HORIZON_SECONDS
"""Time without news after which what another entry reported is forgotten."""


def organisation_of(routed):
    """Return the name under which a call is counted."""
    return routed.organisation.name if routed.organisation else OTHERS


@attrs.frozen
class Rates:
    """Weights of calls a second: what was admitted, and what was asked for, refused calls too."""

    admitted: float = 0.0
    asked: float = 0.0

    def decayed(self, seconds):
        """Return the rates after `seconds` without a call."""
        factor = math.exp(-max(0.0, seconds) / HORIZON_SECONDS)
        return Rates(self.admitted * factor, self.asked * factor)


@attrs.define
class UsageRate:
    """Rates of one organisation, as of the time `at`."""

    rates: Rates
    at: float

    def value(self, now):
        """Return the rates at the time `now`."""
        return self.rates.decayed(now - self.at)

    def add(self, admitted, asked, now):
        """Add to the rates."""
        rates = self.value(now)
        self.rates = Rates(rates.admitted + admitted, rates.asked + asked)
        self.at = max(self.at, now)


@attrs.define
class RemoteUsage:
    """What one other entry reported in one of its runs.

    `rates` holds (`Rates`, time, number of the report) by organisation.
    `previous_run` has ended: its reports come too late.
    """

    run: int
    previous_run: int | None = None
    heard_at: float = 0.0
    rates: dict = attrs.field(factory=dict)


@attrs.define
class OrganisationUsage:
    """Rates of use by organisation, decayed over `HORIZON_SECONDS`.

    `own` is what callers of this entry asked and got, `total` what all did as far as is known;
    `weights` come from the priorities.  `remote` holds what others reported, by address.
    """

    own: dict = attrs.field(factory=dict)
    total: dict = attrs.field(factory=dict)
    weights: dict = attrs.field(factory=dict)
    remote: dict = attrs.field(factory=dict)
    changes: ChangeLog = attrs.field(factory=ChangeLog)
    level: float = math.inf
    level_at: float = -math.inf

    def record_asked(self, name, priority, amount, now):
        """Record that a call of weight `amount` was asked here."""
        self.weights[name] = weight_of(priority)
        if name not in self.own and len(self.own) >= MAX_ORGANISATIONS:
            self.combine_smallest(now)
        self.record(name, 0.0, amount, now)

    def record_admitted(self, name, amount, now):
        """Record that a call of weight `amount` was placed by this entry."""
        self.record(name, amount, 0.0, now)

    def record(self, name, admitted, asked, now):
        """Add to what an organisation got and asked here."""
        admitted, asked = admitted / HORIZON_SECONDS, asked / HORIZON_SECONDS
        add(self.own, name, admitted, asked, now)
        add(self.total, name, admitted, asked, now)
        self.changes.record(name)

    def combine_smallest(self, now):
        """Count the half of the organisations that asked least here together, with others."""
        known = [name for name in self.own if name != OTHERS]
        known.sort(key=lambda name: self.own[name].value(now).asked)
        for name in known[: len(known) // 2]:
            rates = self.own.pop(name).value(now)
            add(self.own, OTHERS, rates.admitted, rates.asked, now)

    def rates(self, name, now):
        """Return the `Rates` of an organisation over all entries."""
        known = self.total.get(name)
        return Rates() if known is None else known.value(now)

    def relative(self, name, now):
        """Return what was admitted for an organisation, relative to its weight."""
        return self.rates(name, now).admitted / self.weights.get(name, 1.0)

    def excess(self, name, now):
        """Return which share of what an organisation got is beyond its fair share, 0 to 1."""
        admitted = self.rates(name, now).admitted
        if admitted <= 0.0:
            return 0.0
        fair = self.fair_level(now) * self.weights.get(name, 1.0)
        return max(0.0, 1.0 - fair / admitted)

    def fair_level(self, now):
        """Return the rate per weight that is fair: what all got together, shared by what they ask.

        It is computed anew every `LEVEL_SECONDS`, as organisations can be many.
        """
        if not 0.0 <= now - self.level_at < LEVEL_SECONDS:
            rates = {name: rate.value(now) for name, rate in self.total.items()}
            capacity = sum(each.admitted for each in rates.values())
            demands = [(each.asked, self.weights.get(n, 1.0)) for n, each in rates.items()]
            self.level, self.level_at = fair_level(demands, capacity), now
        return self.level

    def merge(self, address, run, number, rates, now):
        """Merge a report: what callers of the entry at `address` got and asked lately."""
        remote = self.remote.get(address)
        if remote is None or remote.run != run:
            if remote is not None and run == remote.previous_run:
                return
            previous = remote.run if remote is not None else None
            remote = self.remote[address] = RemoteUsage(run, previous)
        remote.heard_at = now
        for name, admitted, asked in rates:
            self.merge_rates(remote, name, Rates(admitted, asked), number, now)

    def merge_rates(self, remote, name, rates, number, now):
        """Merge what another entry reported of one organisation."""
        if name not in self.total and len(self.total) >= MAX_KNOWN:
            return
        before, at, last = remote.rates.get(name, (Rates(), now, 0))
        if last >= number:
            return
        before = before.decayed(now - at)
        admitted, asked = rates.admitted - before.admitted, rates.asked - before.asked
        add(self.total, name, admitted, asked, now)
        remote.rates[name] = rates, now, number

    def expire(self, now):
        """Forget organisations without use, and entries that have not reported for long."""
        for rates in (self.own, self.total):
            for name in [n for n, r in rates.items() if r.value(now).asked < NEGLIGIBLE_RATE]:
                del rates[name]
        for name in set(self.weights) - set(self.total):
            del self.weights[name]
        for address, remote in list(self.remote.items()):
            if now - remote.heard_at > FORGET_SECONDS:
                del self.remote[address]
            for name in [n for n, r in remote.rates.items() if now - r[1] > FORGET_SECONDS]:
                del remote.rates[name]

    def own_rates(self, names, now):
        """Return (name, admitted, asked) of those in `names` whose callers asked most here."""
        known = ((name, self.own[name].value(now)) for name in names if name in self.own)
        most = heapq.nlargest(MAX_REPORTED, known, key=lambda pair: pair[1].asked)
        return [(name, round(r.admitted, 3), round(r.asked, 3)) for name, r in most]


def add(rates, name, admitted, asked, now):
    """Add to the `UsageRate` of an organisation in a dict of them."""
    known = rates.get(name)
    if known is None:
        known = rates[name] = UsageRate(Rates(), now)
    known.add(admitted, asked, now)


class UsageReport(Report):
    """Tells other entries what organisations used and what waits here, while room is short."""

    kind = Kind.USAGE

    def __init__(self, admission, address, run):
        self.admission = admission
        self.address = address
        self.run = run
        self.number = 0

    @property
    def usage(self):
        """What organisations used lately."""
        return self.admission.usage

    def changes(self, now):
        """Return the rates that changed lately, while room is short."""
        return self.fields(self.usage.changes.pending(), now)

    def state(self, now):
        """Return the highest rates, while room is short."""
        return self.fields(self.usage.own, now)

    def fields(self, names, now):
        """Return the fields of a report about the organisations in `names`."""
        if not self.admission.is_short(now):
            return None
        self.number += 1
        rates = self.usage.own_rates(names, now)
        waiting = self.admission.waiting_orders(now)
        returns = self.admission.returns.recent(now)
        return self.address, self.run, self.number, rates, waiting, returns

    def mark_sent(self):
        """Record that the latest changes were sent."""
        self.usage.changes.mark_sent()
        self.admission.returns.changes.mark_sent()

    def merge(self, fields, now):
        """Merge a report of another entry; return a `Failure` if it is malformed."""
        try:
            address, run, number, rates, waiting, returns = fields[:6]
            rates = [(str(name), float(got), float(asked)) for name, got, asked in rates]
            waiting = [(int(priority), float(used)) for priority, used in waiting]
            returns = [(str(key), float(age), float(left)) for key, age, left in returns]
            run, number = int(run), int(number)
            require_finite(value for row in (*rates, *returns) for value in row[1:])
            require_finite(used for _, used in waiting)
        except (OverflowError, TypeError, ValueError) as error:
            detail = f"{type(error).__name__}: {error}"
            return Failure(Reason.BAD_REQUEST, STEP, detail=detail)
        if address != self.address:
            self.usage.merge(str(address), run, number, rates, now)
            self.admission.merge_waiting(str(address), waiting, now)
            self.admission.returns.merge(returns, now)
        return None


def require_finite(values):
    """Raise ValueError unless all values are finite."""
    if not all(map(math.isfinite, values)):
        raise ValueError("a value is not finite")
