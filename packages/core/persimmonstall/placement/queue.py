"""The endpoint daemon's queue: which waiting attempt is handed to the engine next.

Attempts wait here rather than in the engine, where they are cheap to refuse, to pass and to
cancel.  Long and other work wait in two heaps by due time, so that a long prompt that does
not fit at the moment holds up nobody.
"""

import heapq
import itertools

import attrs

from ..failures import Failure, Reason
from .cost import Cost, weighted_tokens
from .due import due_time, engine_priority
from .lengths import LONG_CLASSES

STEP = "queue"

MOST_WAITING = 512
"""Attempts that may wait at one endpoint."""

LONG_PREFILLS = 1
"""Long prompts that are prefilled at once: more would only delay each other."""

SHORT_PREFILLS = 8
"""Other prompts that are prefilled at once."""

SHORT_MEMORY_SHARE = 0.25
"""Share of the memory left to short work while an overdue long prompt waits for memory."""

STEP_SHARE = 0.8
"""Share of the objective between tokens that one step may take."""

LEAST_CHUNK = 64
"""Smallest chunk of a prefill, in tokens."""


@attrs.define(eq=False)
class Waiting:
    """One attempt at the endpoint; absolute times of the local clock, in seconds."""

    submit: object
    arrived: float
    deadline: float
    service: float
    tokens: float
    memory: int
    due: float
    long: bool
    gone: bool = False

    @property
    def key(self):
        """Identity of the attempt."""
        return (self.submit.request_id, self.submit.attempt)


class JobQueue:
    """Waiting and prefilling attempts of one engine; `settings` are the whole settings."""

    def __init__(self, settings, cost=None):
        self.settings = settings
        self.cost = cost or Cost()
        self.origin = None
        self.short = []
        self.long = []
        self.ties = itertools.count()
        self.waiting = {}
        self.started = {}
        self.prefilling = {}
        self.short_memory = 0
        self.memory_total = 0
        self.step_seconds = 0.02

    def offer(self, submit, now):
        """Take an attempt in, or return `Failure(BUSY)`: certainly not run.

        Refuses what cannot finish in its time behind the work that is due before it.
        """
        self.origin = now if self.origin is None else self.origin
        waiting = self.measure(submit, now)
        if len(self.waiting) >= MOST_WAITING:
            return Failure(Reason.BUSY, STEP, submit.endpoint, "queue is full")
        wait = self.wait_before(waiting, now)
        if now + wait + waiting.service > waiting.deadline:
            return Failure(Reason.BUSY, STEP, submit.endpoint, f"wait of {wait:.2f} s")
        self.waiting[waiting.key] = waiting
        heap = self.long if waiting.long else self.short
        heapq.heappush(heap, (waiting.due, next(self.ties), waiting))
        return waiting

    def measure(self, submit, now):
        """Return `Waiting` with the estimates of one attempt."""
        tokens = weighted_tokens(submit.prompt_tokens, submit.prompt_tokens)
        left = max(1, submit.predicted_tokens - len(submit.relayed))
        prefill = tokens * self.cost.seconds_per_token
        service = prefill + left * self.step_seconds
        deadline = now + submit.remaining
        due = due_time(now, prefill, deadline - left * self.step_seconds, submit.priority)
        memory = submit.prompt_tokens + submit.predicted_tokens
        long = submit.length_class in LONG_CLASSES
        return Waiting(submit, now, deadline, service, tokens, memory, due, long)

    def wait_before(self, waiting, now):
        """Return the estimated seconds before `waiting` starts."""
        ahead = sum(
            other.tokens for other in self.prefilling.values() if self.before(other, waiting)
        )
        for other in self.waiting.values():
            if other.due <= waiting.due:
                ahead += other.tokens
        return ahead * self.cost.seconds_per_token

    def before(self, other, waiting):
        """Return whether a started prefill has to end before `waiting` gets its turn."""
        return waiting.long or not other.long

    def next(self, now, fits):
        """Return the `Waiting` to hand over now, or None.

        `fits(waiting)` says whether the engine's memory has room for it.  What is returned
        counts as started until `ended`.
        """
        heads = [head for head in (self.head(self.short), self.head(self.long)) if head]
        heads.sort(key=lambda waiting: waiting.due)
        for waiting in heads:
            if self.has_slot(waiting) and self.leaves_room(waiting, now, fits) and fits(waiting):
                return self.start(waiting)
        return None

    def head(self, heap):
        """Return the first attempt of `heap` that is still waiting, or None."""
        while heap and heap[0][2].gone:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def has_slot(self, waiting):
        """Return whether another prefill of this kind may run at once."""
        limit = LONG_PREFILLS if waiting.long else SHORT_PREFILLS
        return sum(other.long == waiting.long for other in self.prefilling.values()) < limit

    def leaves_room(self, waiting, now, fits):
        """Return whether `waiting` does not take the memory that an overdue long prompt needs."""
        if waiting.long:
            return True
        blocked = self.head(self.long)
        if blocked is None or blocked.due > now or fits(blocked):
            return True
        return self.short_memory + waiting.memory <= SHORT_MEMORY_SHARE * self.memory_total

    def start(self, waiting):
        """Move an attempt from waiting to prefilling."""
        del self.waiting[waiting.key]
        waiting.gone = True
        self.started[waiting.key] = waiting
        self.prefilling[waiting.key] = waiting
        if not waiting.long:
            self.short_memory += waiting.memory
        return waiting

    def first_token(self, key):
        """Note that the prefill of a started attempt is over."""
        self.prefilling.pop(key, None)

    def ended(self, key):
        """Note that an attempt ended or was cancelled, started or not; twice is harmless."""
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            waiting.gone = True
            return
        started = self.started.pop(key, None)
        self.prefilling.pop(key, None)
        if started is not None and not started.long:
            self.short_memory -= started.memory

    def hopeless(self, now):
        """Return the waiting attempts that can no longer meet their deadlines, taken out.

        Their final answer is due at once.
        """
        late = [
            waiting
            for waiting in self.waiting.values()
            if now + waiting.service > waiting.deadline
        ]
        for waiting in late:
            self.ended(waiting.key)
        return late

    def priority(self, waiting):
        """Return the engine's priority for an attempt; lower runs first."""
        return engine_priority(waiting.due, self.origin)

    def backlog(self):
        """Return the prompt tokens still to be prefilled: all, and those of long prompts."""
        everything = itertools.chain(self.waiting.values(), self.prefilling.values())
        total = long = 0
        for waiting in everything:
            total += waiting.submit.prompt_tokens
            long += waiting.submit.prompt_tokens if waiting.long else 0
        return total, long

    def chunk_tokens(self):
        """Return the prompt tokens to prefill in one step, so that steps stay short."""
        room = STEP_SHARE * self.settings.objectives.between_tokens - self.step_seconds
        fitting = int(room / self.cost.seconds_per_token)
        return max(LEAST_CHUNK, min(self.settings.placing.chunk_tokens, fitting))
