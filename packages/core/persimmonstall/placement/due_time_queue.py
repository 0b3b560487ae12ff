"""Queue of an engine in order of due time."""

import heapq
import itertools

from ..failures import Failure, Reason
from .chunks import MIN_CHUNK, chunk_share
from .due import engine_priority
from .engine_queue import EngineQueue

STEP = "queue"

MAX_WAITING = 512
"""Largest number of attempts waiting at one endpoint."""

SHORT_MEMORY_SHARE = 0.25
"""Share of the memory that short attempts may use while an overdue long one waits for memory."""


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
            if self.may_start(attempt, now):
                return self.start(attempt, now)
        return None

    def may_start(self, attempt, now):
        """Return whether the engine has a prefill chunk and memory for `attempt` now."""
        return (
            self.chunk_tokens(attempt)
            and self.has_room(attempt)
            and self.spares_overdue_long(attempt, now)
        )

    def head(self, heap):
        """Return the first attempt in `heap` that still waits, or None; drops removed ones."""
        while heap and heap[0][2].removed:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def spares_overdue_long(self, attempt, now):
        """Return whether `attempt` may start without starving an overdue long prompt of memory."""
        if attempt.long:
            return True
        blocked = self.head(self.long)
        if blocked is None or blocked.due > now or self.has_room(blocked):
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
        """Return the chunk that keeps steps within the inter-token latency objective."""
        budget = max(MIN_CHUNK, self.steps.token_budget(self.settings.objectives.between_tokens))
        share = chunk_share(attempt.submit.length_class, self.prefilling.values())
        if not share:
            return 0
        # An engine whose steps are too slow for the objective still has to make progress.
        return max(MIN_CHUNK, min(self.settings.placing.chunk_tokens, int(share * budget)))
