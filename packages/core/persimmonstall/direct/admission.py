"""Decides when a call is placed while there is too little room for all.

Where there is room, a call is placed at once.  Else it waits in the entry for a place that is
expected in time, but not longer than its objective allows: then it is sent all the same and waits
at an endpoint.  A call whose turn comes too late for its objective is refused at once, and told
when its turn likely comes.

Places go to higher priorities first, among these to the organisation that used least for its
weight, and within it to who asked first.
"""

import collections
import heapq
import itertools
import math

import attrs

from ..failures import Postponed, Reason
from ..limits.fairness import HORIZON_SECONDS
from .engine_model import prefill_seconds
from .returns import Returns
from .room import has_places, room_of, takes_prompt, total_slots
from .sizes import MIN_WEIGHT, call_weight
from .splitting import LATE_SHARE, MAX_HELPERS
from .unseen import WorkKind
from .usage import OrganisationUsage, organisation_of

STEP = "admission"

MAX_HELD_SHARE = 0.5
"""Share of its objective for which a call waits in the entry at most."""

FULL_SHARE = 0.5
"""Share of the slots below which no call is refused."""

RESERVED_SHARE = 0.1
"""Share of the slots that is kept for calls that go before others, while room is short."""

MAX_EXCESS = 0.9
"""Excess up to which an organisation is told to come back when its use has decayed."""

RETURN_SHARE = 0.5
"""Share of the places that is promised to calls that come back after a refusal."""

RESIDENCE_WEIGHT = 0.1
"""Weight of the newest call in the mean time for which calls occupy their slots."""

SHORTAGE_SECONDS = 10.0
"""Time for which entries report to each other after room was last short."""

REPORT_SECONDS = 0.5
"""Age from which a report of calls that wait elsewhere is out of date."""

MAX_WAITING = 2000
"""Maximum number of calls that wait in one entry."""

MAX_REPORTED = 64
"""Maximum number of waiting calls in one report."""


@attrs.define(eq=False)
class WaitingCall:
    """A call that waits for a place until `until`, when it is sent all the same.

    `asked` is when its caller asked first, `room` what the call found.
    """

    routed: object
    asked: float
    until: float
    room: object
    predicted: float


@attrs.frozen
class Admitted:
    """A call that may be sent; `offered` says that its wait ended without a place."""

    call: WaitingCall
    offered: bool


@attrs.define
class RemoteWaiting:
    """The calls that wait at another entry: (priority, use of the organisation) of each."""

    orders: list
    heard_at: float


@attrs.define
class Admission:
    """The calls that wait in an entry, and all by which their order is decided.

    Unless `enabled`, all calls are placed at once.
    `residence` is the mean time that calls of a service occupy a slot, `promised` the time of the
    last turn that was promised to a refused call in this shortage, both by service.
    """

    placer: object
    random: object
    enabled: bool = True
    usage: OrganisationUsage = attrs.field(factory=OrganisationUsage)
    returns: Returns = attrs.field(factory=Returns)
    waiting: list = attrs.field(factory=list)
    remote_waiting: dict = attrs.field(factory=dict)
    residence: dict = attrs.field(factory=dict)
    promised: dict = attrs.field(factory=dict)
    short_at: float = float("-inf")

    def is_short(self, now):
        """Return whether room was short lately."""
        return now - self.short_at < SHORTAGE_SECONDS

    def applies(self, routed):
        """Return whether calls of this kind compete: by priorities or organisations.

        An entry that does not know the others' calls yet cannot tell what is free.
        """
        competes = routed.organisation is not None or len(routed.priorities) > 1
        return self.enabled and competes and not self.placer.salt

    def decide(self, routed, now):
        """Return None if a call may be placed, a `Postponed` refusal, or a `WaitingCall`."""
        endpoints = self.placer.untried_endpoints(routed, frozenset(), now)
        if not endpoints or not self.applies(routed):
            return None
        key = return_key(routed)
        asked = self.returns.asked(key, routed.call.arrived)
        self.record_asked(routed, now)
        ahead = self.unseen(routed, now) + self.count_ahead(routed, asked, now)
        placer = self.placer
        wanted = ahead
        if self.is_short(now):
            wanted += self.reserved_share(routed, now) * total_slots(routed, endpoints)
        fits = has_places(placer, routed, endpoints, wanted, now)
        if fits and takes_prompt(placer, routed, endpoints, now):
            self.record_admitted(routed, now)
            return None
        return self.postpone(routed, asked, wanted, endpoints, now)

    def record_asked(self, routed, now):
        """Record that a call is asked; one that comes back early pays for it as for another."""
        name, key = organisation_of(routed), return_key(routed)
        if key not in self.returns.refused or self.returns.came_early(key, now):
            self.usage.record_asked(name, routed.priority, call_weight(routed.call), now)
        if self.returns.came_early(key, now):
            self.usage.record_admitted(name, MIN_WEIGHT, now)

    def record_admitted(self, routed, now):
        """Record that a call is placed."""
        self.usage.record_admitted(organisation_of(routed), call_weight(routed.call), now)
        self.returns.admitted(return_key(routed))

    def reserved_share(self, routed, now):
        """Return the share of the slots that is kept free from a call while room is short.

        Some are kept for organisations that got less than their share, and for higher priorities.
        """
        exceeds = self.usage.excess(organisation_of(routed), now) > 0.0
        below = any(each < routed.priority for each in routed.priorities)
        return RESERVED_SHARE * (exceeds + below)

    def postpone(self, routed, asked, wanted, endpoints, now):
        """Return the refusal of a call without a place, or the `WaitingCall`."""
        if not self.is_short(now):
            self.promised.clear()
        self.short_at = now
        room = room_of(self.placer, routed, endpoints, now)
        predicted = self.predicted_wait(routed, room, wanted)
        until = min(routed.deadline, now + patience(routed))
        call = WaitingCall(routed, asked, until, room, predicted)
        refusal = self.refusal(call, now)
        if refusal is not None:
            self.returns.record(return_key(routed), asked, now + refusal.delay)
            return refusal
        self.waiting.append(call)
        return call

    def refusal(self, call, now):
        """Return the refusal of a call whose turn comes too late, None if it may wait.

        If more is asked than fits, calls that waited for as long as it takes would all be late.
        """
        if call.room.taken_share < FULL_SHARE:
            return None
        if call.predicted <= call.until - now and len(self.waiting) < MAX_WAITING:
            return None
        routed = call.routed
        excess = self.usage.excess(organisation_of(routed), now)
        decay = HORIZON_SECONDS * -math.log1p(-min(excess, MAX_EXCESS))
        wait = max(call.predicted, min(decay, routed.deadline - now))
        detail = "its organisation exceeds its share" if excess else "its turn comes too late"
        return Postponed(
            Reason.OVERLOADED, STEP, detail=detail, delay=self.promise(call, wait, now)
        )

    def promise(self, call, wait, now):
        """Return in how many seconds a refused call should come back, `wait` or later.

        Calls that are refused get turns one after the other, for a share of the places only, so
        that those who come back leave places for those who come in time.
        """
        service = call.routed.service.name
        turn = max(now + wait, self.promised.get(service, 0.0))
        entries = 1 + len(self.remote_waiting)
        interval = entries * self.turn_seconds(call.routed, call.room) / RETURN_SHARE
        self.promised[service] = turn + interval
        return turn - now

    def predicted_wait(self, routed, room, wanted):
        """Return the seconds until a call's turn, by how long calls occupy their slots.

        It comes once more than `wanted` places are free.
        """
        missing = max(0.0, wanted + room.queued + 1 - room.places)
        return missing * self.turn_seconds(routed, room)

    def turn_seconds(self, routed, room):
        """Return the mean time between two slots that become free."""
        residence = self.residence.get(routed.service.name, routed.route.objective)
        return residence / max(1, room.slots)

    def count_ahead(self, routed, asked, now):
        """Return how many calls wait, here and elsewhere, that go before one that comes now."""
        order = self.order(routed, asked, now)
        local = sum(self.order(each.routed, each.asked, now) < order for each in self.waiting)
        return local + self.count_remote(order[:2], now)

    def count_remote(self, order, now):
        """Return how many calls at other entries go before one of this order.

        Of those that are equal half do.
        """
        waiting = itertools.chain.from_iterable(self.remote_orders(now))
        return sum(0.5 if each == order else float(each < order) for each in waiting)

    def remote_orders(self, now):
        """Return the recent lists of the calls that wait at other entries."""
        remotes = self.remote_waiting.values()
        return [each.orders for each in remotes if now - each.heard_at < REPORT_SECONDS]

    def unseen(self, routed, now):
        """Return the expected number of calls that others have placed and are not known here."""
        plain = routed.service.engine is None
        return self.placer.unseen(WorkKind.PLAIN if plain else WorkKind.SHORT, now)

    def review(self, now):
        """Remove and return the calls that may be sent now, as `Admitted`."""
        admitted = [Admitted(call, True) for call in self.waiting if call.until <= now]
        for each in admitted:
            self.take(each.call, now)
        for calls in self.by_service().values():
            admitted += [Admitted(call, False) for call in self.review_service(calls, now)]
        return admitted

    def by_service(self):
        """Return the waiting calls of each service."""
        services = collections.defaultdict(list)
        for call in self.waiting:
            services[call.routed.service.name].append(call)
        return services

    def review_service(self, calls, now):
        """Remove and return the calls of a service for which there are places now, in order."""
        endpoints = self.placer.untried_endpoints(calls[0].routed, frozenset(), now)
        if not endpoints:
            return [self.take(call, now) for call in calls]
        self.short_at = now
        room = room_of(self.placer, calls[0].routed, endpoints, now)
        places = room.places - self.unseen(calls[0].routed, now)
        calls.sort(key=lambda call: self.order(call.routed, call.asked, now))
        taken = []
        for call in calls:
            ahead = self.count_remote(self.order(call.routed, call.asked, now)[:2], now)
            kept = self.reserved_share(call.routed, now) * room.slots
            if places - ahead - kept - len(taken) < self.random.random():
                continue
            if takes_prompt(self.placer, call.routed, endpoints, now):
                taken.append(self.take(call, now))
        return taken

    def order(self, routed, asked, now):
        """Return the sort key of a call that wants a place; lower ones go first."""
        used = self.usage.relative(organisation_of(routed), now)
        return routed.priority, round(used, 1), asked

    def take(self, call, now):
        """Remove a waiting call, which is placed now, and return it."""
        self.waiting.remove(call)
        self.record_admitted(call.routed, now)
        return call

    def leave(self, call):
        """Remove a call whose caller has left."""
        if call in self.waiting:
            self.waiting.remove(call)

    def record_served(self, routed, seconds):
        """Record for how long a call occupied its slot."""
        service = routed.service.name
        mean = self.residence.get(service, seconds)
        self.residence[service] = mean + RESIDENCE_WEIGHT * (seconds - mean)

    def waiting_orders(self, now):
        """Return (priority, use of the organisation) of the first calls that wait here.

        Those are the parts of their order that other entries can compare.
        """
        orders = (self.order(call.routed, call.asked, now)[:2] for call in self.waiting)
        return heapq.nsmallest(MAX_REPORTED, orders)

    def merge_waiting(self, address, orders, now):
        """Merge the orders of the calls that wait at another entry."""
        self.remote_waiting[address] = RemoteWaiting(orders, now)

    def tick(self, now):
        """Forget what is out of date."""
        self.usage.expire(now)
        self.returns.expire(now)
        for address, remote in list(self.remote_waiting.items()):
            if now - remote.heard_at > REPORT_SECONDS:
                del self.remote_waiting[address]


def patience(routed):
    """Return the seconds for which a call may wait and still meet its objective."""
    objective, profile = routed.route.objective, routed.service.engine
    usual = 0.0
    if profile is not None:
        prefill = prefill_seconds(profile, routed.call.prompt_tokens)
        usual = min(prefill, objective / MAX_HELPERS) + 2 * profile.stride * profile.step
    return max(0.0, min(MAX_HELD_SHARE * objective, LATE_SHARE * objective - usual))


def return_key(routed):
    """Return the key by which a refused call is recognised when it comes back."""
    return f"{organisation_of(routed)}/{routed.content}"
