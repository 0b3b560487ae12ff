"""Base class of the endpoint daemon's queues of attempts that wait for an engine."""

import abc

import attrs

from ..lengths import LONG_CLASSES
from ..memory.spans import expected_tokens, prompt_span
from .cost import PRIOR_STEP_SECONDS, PrefillCost, weighted_tokens
from .due import due_time
from .prediction import EXPECTED_SHARE
from .steps import StepTimes

MEMORY_SHARE = 0.97
"""Share of the engine's memory that may be committed to attempts."""


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
