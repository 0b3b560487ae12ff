"""Grants the bytes that an entry holds for its callers, within the memory of its machine."""

import asyncio
import math
import os

from persimmonstall.direct.byte_budget import LARGE_BYTES, ByteBudget, Holder

from ..observe import logs
from .departed_callers import DepartedCallers
from .turns import Turns

LOG = logs.get("memory")
STEP = "memory"

MB = 1_000_000
MARGIN = 0.12
"""Share of the machine's memory that is left free, since what a byte costs is an estimate."""

LEAST_SHARE = 0.1
"""Share that callers have in any case: small requests go on whatever the measurement says."""

UNMEASURED_BYTES = 64 * MB
"""Memory of the process itself where it can't be measured."""

CONNECTION_BYTES = 16_384
"""Estimated memory of an open connection."""

EXCHANGE_BYTES = 49_152
"""Estimated memory of a call in progress: its objects, and the buffers of its two connections."""

PATIENCE_SECONDS = 0.5
"""Longest wait for room; a caller that is refused may try again soon."""

RETRY_AFTER_SECONDS = (0.5, 1.5)
"""Bounds of the random Retry-After of a request for which there is no room."""

MEASURE_SECONDS = 1.0
"""Interval of measurements while little is held; otherwise each tick measures."""

BUSY_SHARE = 0.4
"""Share of the capacity from which each tick measures."""

RESERVED_DESCRIPTORS = 200
CALLERS_SHARE = 0.6
"""Descriptors that are kept for files, and the share of the others for callers' connections."""

MAX_ESSENTIAL = 128
"""Most connections at the other doors: of the readiness check, of the metrics and of peers."""

STATM = "/proc/self/statm"


def resident_bytes():
    """Return the resident memory of this process without mapped files, None if unknown."""
    try:
        with open(STATM) as file:
            _size, resident, shared, *_ = map(int, file.read().split())
    except (OSError, ValueError) as error:
        LOG.warning("memory_unknown", step=STEP, reason=repr(error))
        return None
    return (resident - shared) * os.sysconf("SC_PAGESIZE")


class EntryMemory:
    """The budget of bytes of an entry, and the connections that hold them.

    `turns` are those of callers whose requests are dear to parse; `departed` finds callers that
    left while their connections are not read.
    `counts` are the numbers of connections, by whether they are essential.  `own` is what the
    process takes by itself, `unfilled` the bytes that are reserved and have not arrived.  Without
    a memory in the settings, everything is granted.
    """

    def __init__(self, entry):
        self.entry = entry
        self.budget = ByteBudget()
        self.turns = Turns(entry.now)
        self.departed = DepartedCallers()
        self.connections = {}
        self.counts = {True: 0, False: 0}
        self.granted = {}
        self.own = 0
        self.own_at_start = 0
        self.unfilled = 0
        self.measured_at = -math.inf

    @property
    def limited(self):
        """Whether the settings name the memory of the machine."""
        return self.entry.settings.direct.memory_mb > 0

    @property
    def max_connections(self):
        """Most connections of callers, infinite if the settings don't bound descriptors."""
        descriptors = self.entry.settings.direct.descriptors
        if not descriptors:
            return math.inf
        return max(1, int((descriptors - RESERVED_DESCRIPTORS) * CALLERS_SHARE))

    def start(self):
        """Measure what the process takes before it holds anything for callers."""
        self.measure()
        self.own_at_start = self.own
        if self.limited:
            LOG.info("memory_budget", own=self.own, capacity=self.budget.capacity)

    def measure(self):
        """Measure what the process takes by itself, and let the budget follow."""
        if not self.limited:
            self.budget.capacity = math.inf
            return
        self.measured_at = self.entry.now()
        resident = resident_bytes()
        if resident is None:
            self.own = UNMEASURED_BYTES
        else:
            arrived = self.budget.total - self.unfilled
            self.own = max(self.own_at_start, resident - arrived)
        usable = self.entry.settings.direct.memory_mb * MB * (1 - MARGIN)
        self.budget.capacity = max(usable * LEAST_SHARE, usable - self.own)

    def tick(self):
        """Measure if it is due, and let holders give way if the budget has shrunk."""
        self.departed.review()
        if not self.limited:
            return
        busy = self.budget.total > BUSY_SHARE * self.budget.capacity
        if busy or self.entry.now() - self.measured_at >= MEASURE_SECONDS:
            self.measure()
            self.make_room(self.budget.capacity, "memory has grown")
            self.grant()
        self.report()

    def report(self):
        """Set the gauges."""
        metrics, budget = self.entry.metrics, self.budget
        metrics.gauge("memory_own_bytes", self.own)
        metrics.gauge("memory_held_bytes", budget.total)
        metrics.gauge("memory_capacity_bytes", budget.capacity)
        metrics.gauge("memory_waiting", len(budget.wishes))
        metrics.gauge("caller_connections", len(self.connections))

    def open(self, connection, group, essential=False):
        """Return the `Holder` of a new connection, None if there is no room for it."""
        now = self.entry.now()
        holder = Holder(group, now, essential=essential)
        self.budget.add(holder)
        self.connections[holder] = connection
        self.counts[essential] += 1
        most = MAX_ESSENTIAL if essential else self.max_connections
        if self.counts[essential] > most and not self.close_idle(now, essential):
            self.refuse_connection(holder, "too many connections")
            return None
        self.drop_answers(self.budget.capacity - CONNECTION_BYTES)
        full = self.budget.total + CONNECTION_BYTES > self.budget.capacity
        if full and not essential and not self.close_idle(now, essential):
            self.refuse_connection(holder, "no memory")
            return None
        self.budget.change(holder, CONNECTION_BYTES)
        return holder

    def refuse_connection(self, holder, reason):
        """Count and log a connection that is closed at once."""
        self.entry.metrics.count("memory_connections_refused")
        LOG.warning("connection_refused", step=STEP, reason=reason, peer=str(holder.group))
        self.close(holder)

    def close_idle(self, now, essential):
        """Close a connection that is not in use; return whether there was one."""
        idle = self.budget.find_idle(now, essential)
        if idle is None:
            return False
        idle.ending = True
        self.budget.releasing += idle.held
        self.revoke([idle], "too many connections")
        return True

    def close(self, holder):
        """Release all that a connection held."""
        self.budget.remove(holder)
        if self.connections.pop(holder, None) is not None:
            self.counts[holder.essential] -= 1
        self.grant()

    def charge(self, holder, size):
        """Reserve `size` bytes that are there already; return whether there was room.

        Others give way if need be; what they hold is free a moment later.
        """
        if size <= 0 or not self.limited:
            self.budget.change(holder, size)
            return True
        if self.budget.take(holder, size):
            return True
        victims = self.find_victims(holder, size)
        if not victims:
            return self.budget.take(holder, size)
        self.revoke(victims, "room for another caller")
        self.budget.change(holder, size)
        return True

    def find_victims(self, holder, size):
        """Return the connections that have to give way to `size` bytes of a caller's request.

        Large answers are dropped first where the request is a small one.
        """
        if size < LARGE_BYTES:
            self.drop_answers(self.budget.limit(holder, size) - size)
        return self.budget.find_victims(holder, size, self.entry.now())

    async def reserve(self, holder, size):
        """Reserve `size` bytes before they are read; return whether there was room in time."""
        if not self.limited:
            self.budget.change(holder, size)
            return True
        if not self.budget.wishes and self.budget.take(holder, size):
            return True
        wish = self.budget.wish(holder, size)
        granted = self.granted[wish] = asyncio.get_running_loop().create_future()
        until = self.entry.now() + PATIENCE_SECONDS
        try:
            self.grant()
            while not granted.done() and self.entry.now() < until:
                self.revoke(self.find_victims(holder, size), "room for another caller")
                await asyncio.wait((granted,), timeout=PATIENCE_SECONDS / 5)
            return granted.done()
        except asyncio.CancelledError:
            if granted.done():
                self.budget.change(holder, -size)
            raise
        finally:
            self.budget.withdraw(wish)
            del self.granted[wish]

    def release(self, holder, size):
        """Give back bytes."""
        if size:
            self.budget.change(holder, -size)
            self.grant()

    def grant(self):
        """Let those go on whose reservations fit now."""
        if not self.budget.wishes:
            return
        for wish in self.budget.grant():
            self.granted[wish].set_result(None)

    def revoke(self, victims, reason):
        """Tell connections to give way."""
        for victim in victims:
            self.entry.metrics.count("memory_revoked", tag=victim.phase.value)
            LOG.warning(
                "memory_revoked",
                step=STEP,
                reason=reason,
                phase=victim.phase.value,
                peer=str(victim.group),
                held=victim.held,
                still_s=round(self.entry.now() - victim.moved_at, 2),
                total=self.budget.total,
                capacity=self.budget.capacity,
            )
            self.connections[victim].give_way()

    def make_room(self, limit, reason):
        """Let holders give way until `limit` holds.

        First those do that hold much and don't move, then the largest answers in progress, and
        only then callers whose requests arrive.
        """
        if self.budget.over(limit) <= 0:
            return
        self.revoke(self.budget.reduce_stalled(limit, self.entry.now()), reason)
        self.drop_answers(limit)
        self.revoke(self.budget.reduce(limit, self.entry.now()), reason)

    def drop_answers(self, limit):
        """Drop large answers in progress, the largest first, until `limit` holds."""
        while self.budget.over(limit) > 0 and self.entry.answer_memory.drop_large():
            self.entry.metrics.count("memory_answers_dropped")

    def hold_answer(self, sink, size, more):
        """Hold `more` bytes of an answer that now has `size`; others give way if need be."""
        holder = sink.connection.holder
        self.budget.change(holder, more)
        self.make_room(self.budget.limit(holder, size), "answers need room")

    def release_answer(self, sink, size):
        """Give back `size` bytes of an answer."""
        self.release(sink.connection.holder, size)

    def retry_after(self):
        """Return the seconds after which a caller that is refused may try again."""
        return self.entry.clock.random.uniform(*RETRY_AFTER_SECONDS)
