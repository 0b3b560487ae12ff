"""How far engines are filled, and what a call there is expected to do to itself and to others.

Other entries place calls that this one does not know of yet.  If they are spread over some
engines, each of these gets a Poisson-distributed number of them; slots are left free so that these
seldom find an engine full.  The fewer slots are left free, the more engines the choice has to be
spread over; what uses the fewest engines leaves most for parts of long prompts.
"""

import functools
import heapq
import math

import attrs

from .sizes import call_weight, expected_memory
from .splitting import MAX_HELPERS, late_probability

OVERFLOW_SHARE = 0.05
"""Share of the calls that may find an engine full because of others that were placed unseen."""

PEERS_UNKNOWN_SHARE = 0.25
"""Share of an engine's slots that an entry fills while it does not know the others' attempts."""

SPREAD_FACTOR = 2
"""Factor on the engines that are drawn from: not all of them have room by the other objectives."""

LATE_SECONDS = 1.0
"""Cost, in seconds of latency, of making a call of the same weight late."""

MAX_MEAN = 1.0
"""Unseen calls that one engine may expect at most, whatever it has free: they share its passes."""

MEAN_STEP = 1 / 1024
"""Relative steps in which the highest mean of a Poisson distribution is searched."""


@attrs.frozen
class Filling:
    """Up to `usable` slots of an engine are filled; the engine is drawn from `width` of them."""

    usable: int
    width: int


def overflow_probability(mean, free):
    """Return the probability that more than `free` calls come if `mean` are expected.

    >>> round(overflow_probability(0.5, 0), 2), round(overflow_probability(0.5, 2), 2)
    (0.39, 0.01)
    """
    if free < 0:
        return 1.0
    term = total = math.exp(-mean)
    for number in range(1, free + 1):
        term *= mean / number
        total += term
    return max(0.0, 1.0 - total)


@functools.lru_cache
def highest_mean(free):
    """Return how many unseen calls an engine with `free` slots may expect.

    >>> round(highest_mean(0), 2), round(highest_mean(1), 2), round(highest_mean(2), 2)
    (0.05, 0.36, 0.82)
    """
    mean = OVERFLOW_SHARE
    while mean < MAX_MEAN and overflow_probability(mean, free) <= OVERFLOW_SHARE:
        mean *= 1 + MEAN_STEP
    return min(MAX_MEAN, mean)


def engines_needed(free, unseen):
    """Return over how many engines with `free` slots `unseen` calls have to be spread."""
    return 1 + int(unseen / highest_mean(free))


def filling(slots, running, unseen, peers_unknown=False):
    """Return the `Filling` that uses the fewest engines of `slots` slots for `running` calls.

    `unseen` calls are expected that this entry does not know of.

    >>> filling(6, 160, 0.0)
    Filling(usable=6, width=1)
    >>> filling(6, 160, 2.5), filling(6, 20, 2.5)
    (Filling(usable=5, width=15), Filling(usable=4, width=7))
    """
    if peers_unknown:
        return Filling(max(1, int(slots * PEERS_UNKNOWN_SHARE)), 1 + SPREAD_FACTOR * int(unseen))
    free = min(
        range(slots),
        key=lambda free: running / (slots - free) + engines_needed(free, unseen),
    )
    return Filling(slots - free, 1 + SPREAD_FACTOR * (engines_needed(free, unseen) - 1))


def late_cost(routed, load, prefill, expected, unseen, now):
    """Return what the calls cost that a call with `prefill` seconds makes late, in seconds.

    The call itself is late if its first event is, or if it waits for a slot: there are too few
    now, or `unseen` others take them.  Callers of streams are, if a gap becomes too long.
    """
    free = load.profile.slots - load.running() - 1
    waits = overflow_probability(unseen, free) + max(0, -1 - free)
    late = late_probability(expected, routed.route.objective)
    others = load.lateness_cost(prefill * load.slowdown, now) / call_weight(routed.call)
    return LATE_SECONDS * (max(late, waits) + others)


@attrs.frozen
class Room:
    """The slots of the endpoints of a service.

    `places` are free slots, `queued` calls that wait for a slot at an endpoint, `slots` all slots.
    """

    places: int
    queued: int
    slots: int

    @property
    def taken_share(self):
        """Share of the slots that are taken."""
        return 1.0 - self.places / self.slots if self.slots else 1.0


def has_places(placer, routed, endpoints, wanted, now):
    """Return whether more than `wanted` slots of the endpoints are free.

    The last endpoints in rank order are looked at first, as these are filled last.
    """
    free = 0
    for endpoint in reversed(endpoints):
        free += max(0, slots_left(placer, routed, endpoint, now))
        if free > wanted:
            return True
    return False


def room_of(placer, routed, endpoints, now):
    """Return the `Room` that a call finds at the endpoints of its service."""
    places = queued = slots = 0
    for endpoint in endpoints:
        left = slots_left(placer, routed, endpoint, now)
        slots += slots_of(routed, endpoint)
        places += max(0, left)
        queued += max(0, -left)
    return Room(places, queued, slots)


def slots_of(routed, endpoint):
    """Return the slots of an endpoint."""
    profile = routed.service.engine
    return endpoint.slots if profile is None else profile.slots


def total_slots(routed, endpoints):
    """Return the slots of all endpoints of a service."""
    return sum(slots_of(routed, endpoint) for endpoint in endpoints)


def slots_left(placer, routed, endpoint, now):
    """Return how many slots of an endpoint are free, negative if calls wait for one."""
    load = placer.load_tracker.load_of(endpoint, routed.service, now)
    return slots_of(routed, endpoint) - load.running()


def takes_prompt(placer, routed, endpoints, now):
    """Return whether the engines that a long prompt is split over have the memory for it.

    Any other call needs no more than a slot.  Prefill that waits is no reason to hold a prompt:
    its turn among the parts of others comes sooner if it is sent.
    """
    if not placer.is_split(routed):
        return True
    loads = (placer.load_tracker.load_of(each, routed.service, now) for each in endpoints)
    free = heapq.nlargest(MAX_HELPERS + 1, (max(0, load.free_memory()) for load in loads))
    return sum(free) >= expected_memory(routed.call)
