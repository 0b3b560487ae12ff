"""Decides who may hold how many bytes of a process's memory, and who has to give some back.

The load it answers: callers that send many large requests at once, stop half-way, or don't read
their answers.  Bytes are reserved before they are read.  Where they don't fit, those give way that
hold much and move little, then those of groups of callers that hold more than their share; what
has been passed on to an endpoint is never taken back.
"""

import enum
import math

import attrs

LARGE_BYTES = 65_536
"""Size of a reservation from which it counts as large."""

LARGE_SHARE = 0.75
ANSWER_SHARE = 0.8
SMALL_SHARE = 0.9
"""Shares of the capacity up to which large requests, large answers and small requests may fill it;
the rest is for small answers."""

GROUP_SHARE = 0.75
"""Share of that which one group of callers may hold while there are others."""

STALL_SECONDS = 1.0
"""Time without movement after which a holder may have to give way."""

MIN_VICTIM_BYTES = 32_768
"""Least that a holder holds so that it helps if it gives way; an idle connection holds less."""

SMALL_FACTOR = 8
"""Multiple of a small request that a holder holds which gives way to it."""

MOVE_BYTES = 16_384
"""Bytes that count as movement: fewer in `STALL_SECONDS` do not keep a large request alive."""


class Phase(enum.Enum):
    """What a connection is doing, which decides whether it can give way."""

    WAITING = "waiting"
    """No complete head of a request has arrived."""

    READING = "reading"
    """A request is arriving; it has not run, so it can be refused."""

    RUNNING = "running"
    """The request was accepted; it may run."""

    ANSWERING = "answering"
    """Bytes of the answer wait for the caller to read them."""


@attrs.define(eq=False)
class Holder:
    """A connection, and the bytes that it holds; `group` are the callers that share a share.

    One that is `essential` serves the process itself, such as its readiness check, not a caller.
    `moved_at` is when `MOVE_BYTES` had last moved, and `moved` the bytes since.  `ending` says
    that it was told to give way.
    """

    group: object
    moved_at: float
    phase: Phase = Phase.WAITING
    held: int = 0
    moved: int = 0
    ending: bool = False
    essential: bool = False

    def enter(self, phase, now):
        """Record the begin of a phase, which counts as movement."""
        self.phase = phase
        self.moved_at = now
        self.moved = 0

    def move(self, size, now):
        """Record that `size` bytes arrived or were read."""
        self.moved += size
        if self.moved >= MOVE_BYTES:
            self.moved_at = now
            self.moved = 0

    def stalled(self, now):
        """Return whether this holder can give way and has not moved for a while."""
        waits = self.phase is not Phase.RUNNING and not self.ending
        return waits and now - self.moved_at >= STALL_SECONDS


@attrs.define(eq=False)
class Wish:
    """A reservation that waits for room."""

    holder: Holder
    size: int


def is_far_larger(holder, size):
    """Return whether a holder gives way to a small request of anybody."""
    return size < LARGE_BYTES and holder.held >= max(MIN_VICTIM_BYTES, SMALL_FACTOR * size)


class ByteBudget:
    """The bytes that all holders may hold together.

    `capacity` is in bytes; `total` are those held, `releasing` those of holders that were told to
    give way, and `wanted` those of the wishes that wait.
    """

    def __init__(self, capacity=math.inf):
        self.capacity = capacity
        self.holders = set()
        self.groups = {}
        self.wishes = []
        self.total = 0
        self.releasing = 0
        self.wanted = 0

    def add(self, holder):
        """Include a new holder."""
        self.holders.add(holder)
        self.groups[holder.group] = self.groups.get(holder.group, 0) + holder.held
        self.total += holder.held

    def remove(self, holder):
        """Forget a holder and all that it holds; forgetting it twice is harmless."""
        if holder not in self.holders:
            return
        self.change(holder, -holder.held)
        self.holders.discard(holder)
        for wish in [wish for wish in self.wishes if wish.holder is holder]:
            self.withdraw(wish)
        if not self.groups[holder.group] and not self.has_members(holder.group):
            del self.groups[holder.group]

    def has_members(self, group):
        """Return whether any holder belongs to a group."""
        return any(holder.group == group for holder in self.holders)

    def regroup(self, holder, group):
        """Move a holder to another group: it is now known whose it is."""
        if holder.group == group or holder not in self.holders:
            return
        self.groups[holder.group] -= holder.held
        former, holder.group = holder.group, group
        self.groups[group] = self.groups.get(group, 0) + holder.held
        if not self.groups[former] and not self.has_members(former):
            del self.groups[former]

    def change(self, holder, size):
        """Add `size` bytes, which may be negative, without asking; not to one that was removed."""
        if holder not in self.holders:
            return
        holder.held += size
        self.groups[holder.group] += size
        self.total += size
        if holder.ending:
            self.releasing += size

    def limit(self, holder, size):
        """Return up to how many bytes in total `holder` may hold `size` more."""
        if holder.phase in (Phase.RUNNING, Phase.ANSWERING):
            return self.capacity * (ANSWER_SHARE if size >= LARGE_BYTES else 1.0)
        return self.capacity * (LARGE_SHARE if size >= LARGE_BYTES else SMALL_SHARE)

    def room_for_group(self, holder, size, limit):
        """Return whether the holder's group may hold `size` more beside the others."""
        if len(self.groups) < 2 or size < LARGE_BYTES:
            return True
        return self.groups[holder.group] + size <= limit * GROUP_SHARE

    def take(self, holder, size):
        """Reserve `size` bytes if there is room; return whether there was."""
        limit = self.limit(holder, size)
        if self.total + size > limit or not self.room_for_group(holder, size, limit):
            return False
        self.change(holder, size)
        return True

    def wish(self, holder, size):
        """Let a reservation wait for room."""
        wish = Wish(holder, size)
        self.wishes.append(wish)
        self.wanted += size
        return wish

    def withdraw(self, wish):
        """End a wish that was granted or given up."""
        if wish in self.wishes:
            self.wishes.remove(wish)
            self.wanted -= wish.size

    def grant(self):
        """Return the wishes for which there is room now, whose bytes are then reserved.

        Groups that hold little come first, then small wishes, then those that wait longest.
        """
        granted = []
        for wish in sorted(self.wishes, key=lambda w: (self.groups[w.holder.group], w.size)):
            if self.take(wish.holder, wish.size):
                self.withdraw(wish)
                granted.append(wish)
        return granted

    def find_victims(self, holder, size, now):
        """Return the holders that have to give way so that `size` more bytes fit.

        They are marked; none are returned if it would not fit even so.  `size` is included in
        `wanted` if it waits already.
        """
        limit = self.limit(holder, size)
        excess = self.total - self.releasing + max(size, self.wanted) - limit
        if excess <= 0:
            return []
        return self.mark(self.candidates(holder, size, limit, now), excess)

    def over(self, limit):
        """Return by how many bytes `limit` is exceeded, without what is about to be released."""
        return self.total - self.releasing - limit

    def reduce_stalled(self, limit, now):
        """Return the holders that don't move and have to give way for `limit`; mark them."""
        return self.mark(self.stalled(now), self.over(limit), partly=True)

    def reduce(self, limit, now):
        """Return the holders that have to give way so that `limit` holds again; mark them."""
        excess = self.over(limit)
        if excess <= 0:
            return []
        victims = self.stalled(now)
        victims += sorted(
            (h for h in self.holders if h.phase is Phase.READING and h not in victims),
            key=lambda h: (self.groups[h.group], h.held),
            reverse=True,
        )
        return self.mark([h for h in victims if not h.ending], excess, partly=True)

    def stalled(self, now):
        """Return the holders that don't move, those first that held most for longest."""
        found = [h for h in self.holders if h.held >= MIN_VICTIM_BYTES and h.stalled(now)]
        return sorted(found, key=lambda h: h.held * (now - h.moved_at), reverse=True)

    def candidates(self, holder, size, limit, now):
        """Return the holders that may have to give way for `size` bytes of `holder`, in order."""
        found = [h for h in self.stalled(now) if h is not holder]
        share = limit / max(1, len(self.groups))
        below = self.groups[holder.group] + size <= share
        moving = [
            h
            for h in self.holders
            if h.phase is Phase.READING
            and not h.ending
            and h is not holder
            and (is_far_larger(h, size) or (below and self.groups[h.group] > share))
        ]
        moving.sort(key=lambda h: (self.groups[h.group], h.held), reverse=True)
        return found + [h for h in moving if h not in found]

    def mark(self, candidates, excess, partly=False):
        """Mark as many candidates as needed as ending, in order; return them."""
        victims = []
        freed = 0
        for candidate in candidates:
            if freed >= excess:
                break
            victims.append(candidate)
            freed += candidate.held
        if freed < excess and not partly:
            return []
        for victim in victims:
            victim.ending = True
            self.releasing += victim.held
        return victims

    def spare(self, holder):
        """Record that a holder that was told to give way has done so and goes on."""
        if holder.ending:
            holder.ending = False
            self.releasing -= holder.held

    def find_idle(self, now, essential=False):
        """Return the connection to close in favour of a new one, None if all are in use.

        Essential ones close for essential ones alone, and others for others.
        It is one that has stalled without a complete request, of the group with most of them; of
        those the one that moved longest ago.
        """
        still = [h for h in self.holders if h.essential == essential and h.stalled(now)]
        waiting = [h for h in still if h.phase is Phase.WAITING]
        waiting = waiting or [h for h in still if h.phase is Phase.READING]
        if not waiting:
            return None
        sizes = {}
        for holder in waiting:
            sizes[holder.group] = sizes.get(holder.group, 0) + 1
        return min(waiting, key=lambda h: (-sizes[h.group], h.moved_at))
