"""The endpoint daemon's queue: which waiting attempt is handed to the engine next."""

import abc
import heapq
import itertools
from collections import deque

import attrs

from ..failures import Failure, Reason
from ..lengths import LONG_CLASSES, LengthClass
from ..memory.spans import expected_tokens, prompt_span
from .cost import PRIOR_STEP_SECONDS, PrefillCost, weighted_tokens
from .due import due_time, engine_priority
from .prediction import EXPECTED_SHARE
from .steps import StepTimes

STEP = "queue"

MAX_WAITING = 512
"""Attempts that may wait at one endpoint."""

SHORT_MEMORY_SHARE = 0.25
"""Share of the memory left to short work while an overdue long prompt waits for memory."""

MEMORY_SHARE = 0.97
"""Share of the engine's memory that is promised to attempts."""

LONG_PART = 0.6
MEDIUM_PART = 0.4
SHORT_PART = 0.4
"""Parts of a step's room for prompt tokens that one prompt of a class may take."""

MIN_CHUNK = 128
"""Smallest chunk of a prefill, in tokens."""


@attrs.define(eq=False)
class Waiting:
    """One attempt at the endpoint; absolute times of the local clock, in seconds.

    `tokens` is its prefill in tokens of short context, `service` the time it needs.
    """

    submit: object
    arrived: float
    deadline: float
    service: float
    tokens: float
    memory: int
    due: float
    long: bool
    gone: bool = False
    started: float = 0.0
    chunk: int = 0

    @property
    def key(self):
        """Identity of the attempt."""
        return (self.submit.request_id, self.submit.attempt)


class HandOver(abc.ABC):
    """Attempts that wait for one engine, and those that it prefills.

    `settings` are the whole settings; `step_seconds` and `memory_total` are kept up to date
    by the owner from the engine's reports, and its memory ledger is asked by `has_room`
    whether a waiting attempt fits.
    """

    def __init__(self, settings):
        self.settings = settings
        self.cost = PrefillCost()
        self.waiting = {}
        self.started = {}
        self.prefilling = {}
        self.held = 0
        self.memory_total = 0
        self.step_seconds = PRIOR_STEP_SECONDS
        self.busy_since = 0.0
        self.steps = StepTimes()
        self.last_step = None
        self.has_room = self.room_by_promises

    @abc.abstractmethod
    def offer(self, submit, cached, now):
        """Take an attempt in and return its `Waiting`, or a `Failure`: certainly not run.

        `cached` are the prompt tokens that the engine probably has cached.
        """

    @abc.abstractmethod
    def next(self, now):
        """Return the `Waiting` to hand over now, or None; it counts as started until `ended`."""

    @abc.abstractmethod
    def remove_infeasible(self, now):
        """Take out and return the waiting attempts that can no longer meet their deadlines."""

    @abc.abstractmethod
    def priority(self, waiting):
        """Return the engine's priority for an attempt; lower runs first."""

    @abc.abstractmethod
    def chunk_tokens(self, waiting):
        """Return the prompt tokens of `waiting` to prefill in one step; 0: none for now."""

    def record_step(self, now):
        """Note the end of a step of the engine, and learn from its time."""
        tokens = sum(waiting.chunk for waiting in self.prefilling.values())
        if self.last_step is not None:
            self.steps.observe(now - self.last_step, tokens)
        # The time until the next step says nothing when the engine has nothing to do.
        self.last_step = now if self.started else None

    def measure(self, submit, cached, now):
        """Return `Waiting` with the estimates of one attempt."""
        start, end = prompt_span(submit)
        uncached = max(1, end - max(start, cached))
        tokens = weighted_tokens(uncached, end)
        left = max(1, submit.predicted_tokens - len(submit.relayed))
        prefill = tokens * self.cost.seconds_per_token
        decode = EXPECTED_SHARE * left * self.step_seconds
        deadline = now + submit.remaining
        due = due_time(now, prefill, deadline - decode, submit.priority)
        memory = expected_tokens(submit)
        long = submit.length_class in LONG_CLASSES
        return Waiting(submit, now, deadline, prefill + decode, tokens, memory, due, long)

    def start(self, waiting, now):
        """Move an attempt from waiting to prefilling."""
        self.waiting.pop(waiting.key, None)
        waiting.gone = True
        waiting.started = now
        waiting.chunk = self.chunk_tokens(waiting)
        if not self.prefilling:
            self.busy_since = now
        self.started[waiting.key] = waiting
        self.prefilling[waiting.key] = waiting
        self.held += waiting.memory
        return waiting

    def first_token(self, key, now):
        """Note that the prefill of a started attempt is over, and learn from its time."""
        waiting = self.prefilling.pop(key, None)
        if waiting is not None:
            self.cost.observe(waiting.tokens, now - self.busy_since)
            self.busy_since = now

    def ended(self, key):
        """Note that an attempt ended or was cancelled, started or not; twice is harmless."""
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            waiting.gone = True
            return
        self.prefilling.pop(key, None)
        started = self.started.pop(key, None)
        if started is not None:
            self.held -= started.memory

    def backlog(self, now):
        """Return the prompt tokens still to be prefilled: all, and those of long prompts."""
        total = long = 0.0
        for waiting in self.waiting.values():
            total += waiting.tokens
            long += waiting.tokens if waiting.long else 0.0
        for waiting in self.prefilling.values():
            left = self.left_of(waiting, now)
            total += left
            long += left if waiting.long else 0.0
        return int(total), int(long)

    def left_of(self, waiting, now):
        """Return the estimated tokens that a started prefill still needs."""
        done = (now - waiting.started) / self.cost.seconds_per_token
        return max(0.1 * waiting.tokens, waiting.tokens - done)

    def room_by_promises(self, waiting):
        """Return whether what was promised leaves room; an idle engine may always try."""
        if not self.memory_total or not self.started:
            return True
        return self.held + waiting.memory <= MEMORY_SHARE * self.memory_total


class FirstCome(HandOver):
    """Hands everything to the engine at once, in order of arrival: the baselines' way."""

    def __init__(self, settings):
        super().__init__(settings)
        self.order = deque()

    def offer(self, submit, cached, now):
        """Take every attempt in."""
        waiting = self.measure(submit, cached, now)
        self.waiting[waiting.key] = waiting
        self.order.append(waiting)
        return waiting

    def next(self, now):
        """Return the oldest attempt."""
        while self.order:
            waiting = self.order.popleft()
            if not waiting.gone:
                return self.start(waiting, now)
        return None

    def remove_infeasible(self, now):
        """Return nothing: an attempt ends with its deadline."""
        return []

    def priority(self, waiting):
        """Return the organisation's priority."""
        return waiting.submit.priority

    def chunk_tokens(self, waiting):
        """Return the setting."""
        return self.settings.placing.chunk_tokens


class DueOrder(HandOver):
    """Hands attempts over by due time, a few prefills at once.

    Attempts wait here rather than in the engine, where they are cheap to refuse, to pass and
    to cancel.  Long ones have a heap of their own, so that a long prompt that does not fit
    at the moment holds up nobody.
    """

    def __init__(self, settings):
        super().__init__(settings)
        self.short = []
        self.long = []
        self.ties = itertools.count()
        self.short_memory = 0

    def offer(self, submit, cached, now):
        """Take an attempt in unless it cannot finish in time behind what is due before it."""
        waiting = self.measure(submit, cached, now)
        if len(self.waiting) >= MAX_WAITING:
            return Failure(Reason.BUSY, STEP, submit.endpoint, "queue is full")
        wait = self.wait_before(waiting, now)
        if now + wait + waiting.service > waiting.deadline:
            return Failure(Reason.BUSY, STEP, submit.endpoint, f"wait of {wait:.2f} s")
        self.waiting[waiting.key] = waiting
        heap = self.long if waiting.long else self.short
        heapq.heappush(heap, (waiting.due, next(self.ties), waiting))
        return waiting

    def wait_before(self, waiting, now):
        """Return the estimated seconds before `waiting` starts."""
        started = self.prefilling.values()
        ahead = sum(
            self.left_of(other, now) for other in started if waiting.long or not other.long
        )
        for other in self.waiting.values():
            if other.due <= waiting.due:
                ahead += other.tokens
        return ahead * self.cost.seconds_per_token

    def next(self, now):
        """Return the waiting attempt due first among those that may start now."""
        heads = [head for head in (self.head(self.short), self.head(self.long)) if head]
        heads.sort(key=lambda waiting: waiting.due)
        for waiting in heads:
            if (
                self.chunk_tokens(waiting)
                and self.fits(waiting)
                and self.leaves_room(waiting, now)
            ):
                return self.start(waiting, now)
        return None

    def head(self, heap):
        """Return the first attempt of `heap` that is still waiting, or None."""
        while heap and heap[0][2].gone:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def fits(self, waiting):
        """Return whether the engine's memory has room."""
        return self.has_room(waiting)

    def leaves_room(self, waiting, now):
        """Return whether `waiting` does not take the memory that an overdue long prompt needs."""
        if waiting.long:
            return True
        blocked = self.head(self.long)
        if blocked is None or blocked.due > now or self.fits(blocked):
            return True
        return self.short_memory + waiting.memory <= SHORT_MEMORY_SHARE * self.memory_total

    def start(self, waiting, now):
        """Move an attempt from waiting to prefilling."""
        if not waiting.long:
            self.short_memory += waiting.memory
        return super().start(waiting, now)

    def ended(self, key):
        """Note that an attempt ended."""
        started = self.started.get(key)
        if started is not None and not started.long:
            self.short_memory -= started.memory
        super().ended(key)

    def remove_infeasible(self, now):
        """Take out and return the attempts that cannot meet their deadlines any more."""
        late = [
            waiting
            for waiting in self.waiting.values()
            if now + waiting.service > waiting.deadline
        ]
        for waiting in late:
            self.ended(waiting.key)
        return late

    def priority(self, waiting):
        """Return the due time in the engine's units."""
        return engine_priority(waiting.due, 0.0)

    def chunk_tokens(self, waiting):
        """Return the chunk that keeps steps near the objective between tokens, 0 for no slot.

        Each class has its own part of a step, so that no class waits for the end of another's
        prefill; a class alone may take more.
        """
        room = max(MIN_CHUNK, self.steps.room(self.settings.objectives.between_tokens))
        kind = waiting.submit.length_class
        taken = {other.submit.length_class for other in self.prefilling.values()}
        if waiting.long:
            part = 0 if taken & LONG_CLASSES else LONG_PART
        elif kind == LengthClass.MEDIUM:
            part = self.part_of(kind, MEDIUM_PART, bool(taken & LONG_CLASSES))
        else:
            part = self.part_of(kind, SHORT_PART, bool(taken - {LengthClass.SHORT}))
        if not part:
            return 0
        # Also an engine whose steps are too slow for the objective has to make progress.
        return max(MIN_CHUNK, min(self.settings.placing.chunk_tokens, int(part * room)))

    def part_of(self, kind, part, shared):
        """Return the part of a step for one more prompt of a class, alone or in a shared step."""
        running = sum(other.submit.length_class == kind for other in self.prefilling.values())
        most = 1 if shared else 2
        return part if running < most else 0


def make_engine_queue(settings):
    """Return the hand-over that goes with the placement policy of the settings."""
    return DueOrder(settings) if settings.placing.policy == "length" else FirstCome(settings)
