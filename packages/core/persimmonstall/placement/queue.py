"""The endpoint daemon's queue of attempts that wait for its engine."""

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
"""Largest number of attempts waiting at one endpoint."""

SHORT_MEMORY_SHARE = 0.25
"""Share of the memory that short attempts may use while an overdue long one waits for memory."""

MEMORY_SHARE = 0.97
"""Share of the engine's memory that may be committed to attempts."""

LONG_STEP_SHARE = 0.6
MEDIUM_STEP_SHARE = 0.4
SHORT_STEP_SHARE = 0.4
"""Shares of a step's prefill token budget that one prompt of a class may use."""

MIN_CHUNK = 128
"""Smallest prefill chunk, in tokens."""


@attrs.define(eq=False)
class QueuedAttempt:
    """An attempt at the endpoint; times are absolute, on the local clock, in seconds.

    `tokens` is its prefill work in weighted tokens, `service` its estimated service time.
    """

    submit: object
    arrived: float
    deadline: float
    service: float
    tokens: float
    memory: int
    due: float
    long: bool
    removed: bool = False
    started: float = 0.0
    chunk: int = 0

    @property
    def key(self):
        """Return the identity of the attempt."""
        return (self.submit.request_id, self.submit.attempt)


class EngineQueue(abc.ABC):
    """Base class of the queues of attempts that wait for, or run on, one engine.

    `settings` is the root of the settings.  The endpoint daemon updates `step_seconds` and
    `memory_total` from the engine's reports, and replaces `has_room` by a check against its
    memory ledger.
    """

    def __init__(self, settings):
        self.settings = settings
        self.cost = PrefillCost()
        self.waiting = {}
        self.started = {}
        self.prefilling = {}
        self.committed_memory = 0
        self.memory_total = 0
        self.step_seconds = PRIOR_STEP_SECONDS
        self.busy_since = 0.0
        self.steps = StepTimes()
        self.last_step = None
        self.has_room = self.fits_uncommitted_memory

    @abc.abstractmethod
    def offer(self, submit, cached, now):
        """Enqueue an attempt and return its `QueuedAttempt`, or a `Failure` if it is refused.

        A refused attempt has certainly not run.  `cached` is the number of prompt tokens that the
        engine probably has cached.
        """

    @abc.abstractmethod
    def next(self, now):
        """Dequeue and return the `QueuedAttempt` to start now, or None.

        It counts as started until `ended` is called.
        """

    @abc.abstractmethod
    def remove_infeasible(self, now):
        """Remove and return the waiting attempts that can no longer meet their deadlines."""

    @abc.abstractmethod
    def priority(self, attempt):
        """Return the engine priority of an attempt; the lowest runs first."""

    @abc.abstractmethod
    def chunk_tokens(self, attempt):
        """Return the prompt tokens of `attempt` to prefill per step, 0 if it has to wait."""

    def record_step(self, now):
        """Record the end of an engine step and learn from its duration."""
        tokens = sum(attempt.chunk for attempt in self.prefilling.values())
        if self.last_step is not None:
            self.steps.observe(now - self.last_step, tokens)
        # An idle engine takes no steps: the time until the next one is not a step time.
        self.last_step = now if self.started else None

    def estimate(self, submit, cached, now):
        """Return the `QueuedAttempt` of an attempt with its estimates."""
        start, end = prompt_span(submit)
        uncached = max(1, end - max(start, cached))
        tokens = weighted_tokens(uncached, end)
        remaining = max(1, submit.predicted_tokens - len(submit.relayed))
        prefill = tokens * self.cost.seconds_per_token
        decode = EXPECTED_SHARE * remaining * self.step_seconds
        deadline = now + submit.remaining
        due = due_time(now, prefill, deadline - decode, submit.priority)
        memory = expected_tokens(submit)
        long = submit.length_class in LONG_CLASSES
        return QueuedAttempt(submit, now, deadline, prefill + decode, tokens, memory, due, long)

    def start(self, attempt, now):
        """Move an attempt from waiting to started and prefilling."""
        self.waiting.pop(attempt.key, None)
        attempt.removed = True
        attempt.started = now
        attempt.chunk = self.chunk_tokens(attempt)
        if not self.prefilling:
            self.busy_since = now
        self.started[attempt.key] = attempt
        self.prefilling[attempt.key] = attempt
        self.committed_memory += attempt.memory
        return attempt

    def first_token(self, key, now):
        """Record the end of an attempt's prefill and learn from its duration."""
        attempt = self.prefilling.pop(key, None)
        if attempt is not None:
            self.cost.observe(attempt.tokens, now - self.busy_since)
            self.busy_since = now

    def ended(self, key):
        """Remove an attempt that ended or was cancelled, started or not; idempotent."""
        attempt = self.waiting.pop(key, None)
        if attempt is not None:
            attempt.removed = True
            return
        self.prefilling.pop(key, None)
        started = self.started.pop(key, None)
        if started is not None:
            self.committed_memory -= started.memory

    def backlog(self, now):
        """Return the prompt tokens left to prefill: in all, and of long prompts."""
        total = long = 0.0
        for attempt in self.waiting.values():
            total += attempt.tokens
            long += attempt.tokens if attempt.long else 0.0
        for attempt in self.prefilling.values():
            remaining = self.remaining_tokens(attempt, now)
            total += remaining
            long += remaining if attempt.long else 0.0
        return int(total), int(long)

    def remaining_tokens(self, attempt, now):
        """Return the estimated tokens left to prefill of a started attempt."""
        done = (now - attempt.started) / self.cost.seconds_per_token
        return max(0.1 * attempt.tokens, attempt.tokens - done)

    def fits_uncommitted_memory(self, waiting):
        """Return whether uncommitted memory suffices; an idle engine accepts any attempt."""
        if not self.memory_total or not self.started:
            return True
        return self.committed_memory + waiting.memory <= MEMORY_SHARE * self.memory_total


class FifoQueue(EngineQueue):
    """Passes attempts to the engine at once, in order of arrival; for the baseline policies."""

    def __init__(self, settings):
        super().__init__(settings)
        self.order = deque()

    def offer(self, submit, cached, now):
        """Enqueue an attempt; none is refused."""
        attempt = self.estimate(submit, cached, now)
        self.waiting[attempt.key] = attempt
        self.order.append(attempt)
        return attempt

    def next(self, now):
        """Dequeue and return the oldest attempt, or None."""
        while self.order:
            attempt = self.order.popleft()
            if not attempt.removed:
                return self.start(attempt, now)
        return None

    def remove_infeasible(self, now):
        """Return nothing: attempts are not checked against their deadlines here."""
        return []

    def priority(self, attempt):
        """Return the priority of the attempt's organisation."""
        return attempt.submit.priority

    def chunk_tokens(self, attempt):
        """Return the chunk size of the settings."""
        return self.settings.placing.chunk_tokens


class DueTimeQueue(EngineQueue):
    """Starts attempts in order of due time, with a few concurrent prefills.

    Attempts wait here rather than in the engine because they are cheap to refuse, reorder and
    cancel here.  Long ones have a heap of their own, so that one that does not fit at present
    does not block shorter ones (head-of-line blocking).
    """

    def __init__(self, settings):
        super().__init__(settings)
        self.short = []
        self.long = []
        self.tie_breaker = itertools.count()
        self.short_memory = 0

    def offer(self, submit, cached, now):
        """Enqueue an attempt unless it cannot meet its deadline behind what is due before it."""
        attempt = self.estimate(submit, cached, now)
        if len(self.waiting) >= MAX_WAITING:
            return Failure(Reason.BUSY, STEP, submit.endpoint, "queue is full")
        wait = self.wait_before(attempt, now)
        if now + wait + attempt.service > attempt.deadline:
            return Failure(Reason.BUSY, STEP, submit.endpoint, f"estimated wait of {wait:.2f} s")
        self.waiting[attempt.key] = attempt
        heap = self.long if attempt.long else self.short
        heapq.heappush(heap, (attempt.due, next(self.tie_breaker), attempt))
        return attempt

    def wait_before(self, attempt, now):
        """Return the estimated wait of `attempt` in seconds."""
        started = self.prefilling.values()
        ahead = sum(
            self.remaining_tokens(other, now)
            for other in started
            if attempt.long or not other.long
        )
        for other in self.waiting.values():
            if other.due <= attempt.due:
                ahead += other.tokens
        return ahead * self.cost.seconds_per_token

    def next(self, now):
        """Dequeue and return the head of one of the two heaps, or None if neither may start.

        If both may start, it is the one with the earlier due time.
        """
        heads = [head for head in (self.head(self.short), self.head(self.long)) if head]
        heads.sort(key=lambda attempt: attempt.due)
        for attempt in heads:
            if (
                self.chunk_tokens(attempt)
                and self.fits(attempt)
                and self.spares_overdue_long(attempt, now)
            ):
                return self.start(attempt, now)
        return None

    def head(self, heap):
        """Return the first attempt in `heap` that still waits, or None; drops removed ones."""
        while heap and heap[0][2].removed:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def fits(self, attempt):
        """Return whether the engine has memory for the attempt."""
        return self.has_room(attempt)

    def spares_overdue_long(self, attempt, now):
        """Return whether `attempt` may start without starving an overdue long prompt of memory."""
        if attempt.long:
            return True
        blocked = self.head(self.long)
        if blocked is None or blocked.due > now or self.fits(blocked):
            return True
        return self.short_memory + attempt.memory <= SHORT_MEMORY_SHARE * self.memory_total

    def start(self, attempt, now):
        """Start an attempt and count the memory of short ones."""
        if not attempt.long:
            self.short_memory += attempt.memory
        return super().start(attempt, now)

    def ended(self, key):
        """Remove an attempt and release the memory counted for short ones."""
        started = self.started.get(key)
        if started is not None and not started.long:
            self.short_memory -= started.memory
        super().ended(key)

    def remove_infeasible(self, now):
        """Remove and return the waiting attempts that can no longer meet their deadlines."""
        infeasible = [
            attempt
            for attempt in self.waiting.values()
            if now + attempt.service > attempt.deadline
        ]
        for attempt in infeasible:
            self.ended(attempt.key)
        return infeasible

    def priority(self, attempt):
        """Return the due time as an engine priority."""
        return engine_priority(attempt.due, 0.0)

    def chunk_tokens(self, attempt):
        """Return the chunk that keeps steps within the inter-token latency objective.

        Each class has its own share of a step, so that no class waits for another's prefill to
        end.  Long and giant prompts have one prefill between them.  Medium and short prompts
        have two per class, or one while a prompt of a longer class is being prefilled.  0 if
        the class already has that many.
        """
        budget = max(MIN_CHUNK, self.steps.token_budget(self.settings.objectives.between_tokens))
        length_class = attempt.submit.length_class
        active_classes = {other.submit.length_class for other in self.prefilling.values()}
        if attempt.long:
            share = 0 if active_classes & LONG_CLASSES else LONG_STEP_SHARE
        elif length_class == LengthClass.MEDIUM:
            share = self.step_share(
                length_class, MEDIUM_STEP_SHARE, bool(active_classes & LONG_CLASSES)
            )
        else:
            share = self.step_share(
                length_class, SHORT_STEP_SHARE, bool(active_classes - {LengthClass.SHORT})
            )
        if not share:
            return 0
        # An engine whose steps are too slow for the objective still has to make progress.
        return max(MIN_CHUNK, min(self.settings.placing.chunk_tokens, int(share * budget)))

    def step_share(self, length_class, share, shared):
        """Return `share`, or 0 if the class may not have another prefill now.

        `shared` says whether prefills of longer classes are in progress.
        """
        running = sum(
            other.submit.length_class == length_class for other in self.prefilling.values()
        )
        limit = 1 if shared else 2
        return share if running < limit else 0


def make_engine_queue(settings):
    """Return the queue for the placement policy of the settings."""
    return DueTimeQueue(settings) if settings.placing.policy == "length" else FifoQueue(settings)
