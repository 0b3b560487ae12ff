"""Simulates the passes of a model engine, from its profile and the work sent to it.

An engine works in scheduling passes.  Each pass prefills a part of the waiting prompts and lets
every running sequence generate a few tokens, which reach its caller as one event.
"""

import math

import attrs

PREFILL_ONLY_STEPS = 4
"""Steps simulated as one pass while nothing is generated.

The engine itself runs one step in such a pass; simulating several makes a prediction cheaper.
"""

MAX_PASSES = 256
"""Maximum number of passes simulated at once; of an engine that would need more, the prefills are
assumed to have finished."""

PREFILL_TOLERANCE_SECONDS = 1e-6
"""Remaining prefill time, in seconds, up to which a prefill counts as complete."""


def prefill_seconds(profile, tokens):
    """Return the seconds that one engine needs to prefill a prompt of `tokens` tokens.

    >>> from .messages import EngineProfile
    >>> profile = EngineProfile(8, 232_000, 0.001, 0, 0, 1 / 206_000, 138e-12, 2048, 43)
    >>> round(prefill_seconds(profile, 133_000), 2)
    1.87
    """
    return tokens * profile.token_read + 0.5 * tokens * tokens * profile.pair_read


@attrs.define
class Prefill:
    """A prompt, or a part of one, that is still to be prefilled; `seconds` is the time left.

    Its caller accepts gaps of up to `max_gap` seconds between events and wants the first event by
    `due`.  A part that is prefilled for another engine has `generates` false and goes first.
    """

    seconds: float
    context: int
    generates: bool
    max_gap: float
    due: float
    weight: float


@attrs.define
class Generation:
    """A sequence that is generating; its context has `context` tokens."""

    context: int
    max_gap: float
    weight: float


@attrs.define
class EngineModel:
    """Predicted work of one engine; `busy_until` is the end of its current pass.

    `slowdown` is how many times slower than its profile the engine was measured to be.  The other
    fields are keyed by attempt name: `prefills` that are not complete, `generating` sequences,
    the seconds of each prefill that are `scheduled` in the current pass, and `memory` in tokens.
    """

    profile: object
    busy_until: float = 0.0
    slowdown: float = 1.0
    prefills: dict = attrs.field(factory=dict)
    generating: dict = attrs.field(factory=dict)
    scheduled: dict = attrs.field(factory=dict)
    memory: dict = attrs.field(factory=dict)

    def generation_seconds(self, extra=0):
        """Return the duration of a pass that only generates, with `extra` more sequences."""
        count = len(self.generating) + extra
        if not count:
            return self.profile.step * self.slowdown
        context = sum(generation.context for generation in self.generating.values())
        step = (
            self.profile.step
            + count * self.profile.per_sequence
            + context * self.profile.per_context
        )
        return self.profile.stride * step * self.slowdown

    def pending_prefill(self):
        """Return the seconds of prefill that are left after the current pass."""
        if not self.prefills:
            return 0.0
        return sum(prefill.seconds for prefill in self.prefills.values()) - sum(
            self.scheduled.values()
        )

    def max_prefill(self):
        """Return the maximum prefill time, in seconds, of one pass."""
        steps = self.profile.stride if self.generating else PREFILL_ONLY_STEPS
        return steps * self.profile.chunk * self.profile.token_read * self.slowdown

    def advance(self, now):
        """Simulate the passes up to `now`."""
        for _ in range(MAX_PASSES):
            if self.busy_until > now:
                return
            self.finish_pass()
            if not self.prefills and not self.generating:
                break
            self.start_pass(now)
        else:
            self.prefills.clear()
        self.busy_until = max(self.busy_until, now)

    def start_pass(self, until):
        """Choose the prefills of the next pass and set when it ends.

        Passes that are alike, up to `until`, count as one: those that only generate, and those
        that only prefill the first prompt.
        """
        if not self.prefills:
            duration = self.generation_seconds()
            self.busy_until += duration * max(1, math.ceil((until - self.busy_until) / duration))
            return
        ordered = sorted(self.prefills.items(), key=prefill_order)
        one_pass = available = self.max_prefill()
        if not self.generating:
            available = max(one_pass, min(ordered[0][1].seconds, until - self.busy_until))
        passes = available / one_pass
        for attempt, prefill in ordered:
            part = min(prefill.seconds, available)
            if part <= 0.0:
                break
            self.scheduled[attempt] = part
            available -= part
        self.busy_until += passes * self.generation_seconds() + sum(self.scheduled.values())

    def expected_gap(self):
        """Return the expected seconds between two events of a stream, without any slowdown."""
        prefill_time = min(self.pending_prefill(), self.max_prefill())
        return (self.generation_seconds() + prefill_time) / self.slowdown

    def finish_pass(self):
        """Subtract the work of the last pass; completed prompts start to generate."""
        for attempt, part in self.scheduled.items():
            prefill = self.prefills.get(attempt)
            if prefill is None:
                continue
            prefill.seconds -= part
            if prefill.seconds <= PREFILL_TOLERANCE_SECONDS:
                self.complete(attempt)
        self.scheduled.clear()

    def complete(self, attempt):
        """Remove a completed prefill; if it was not for another engine, generation starts."""
        prefill = self.prefills.pop(attempt, None)
        if prefill is not None and prefill.generates:
            self.generating[attempt] = Generation(prefill.context, prefill.max_gap, prefill.weight)

    def begin(self, attempt, demand, now):
        """Add the `EndpointDemand` of an attempt."""
        self.advance(now)
        self.memory[attempt] = demand.memory
        self.prefills[attempt] = Prefill(
            demand.prefill * self.slowdown,
            demand.context,
            demand.generates,
            demand.max_gap,
            now + demand.max_first_event,
            demand.weight,
        )
        if self.busy_until <= now:
            self.busy_until = now
            self.start_pass(now)

    def end(self, attempt):
        """Remove an attempt."""
        self.prefills.pop(attempt, None)
        self.generating.pop(attempt, None)
        self.scheduled.pop(attempt, None)
        self.memory.pop(attempt, None)

    def prefill_done(self, attempt):
        """Record the first event of an attempt, which shows that its prefill is complete."""
        self.scheduled.pop(attempt, None)
        self.complete(attempt)

    def free_memory(self):
        """Return the memory, in tokens, that no attempt is expected to use."""
        return self.profile.memory - sum(self.memory.values())

    def running(self):
        """Return the number of sequences that hold or will hold a slot."""
        return len(self.generating) + sum(
            1 for prefill in self.prefills.values() if prefill.generates
        )

    def is_idle(self):
        """Return whether no attempt uses the engine."""
        return not self.memory

    def predict_first_event(self, prefill, now):
        """Return the seconds to the first event of a new call with `prefill` seconds of prefill.

        It comes at the end of the pass that completes the prefill.
        """
        wait = max(0.0, self.busy_until - now)
        prefill_time = self.pending_prefill() + prefill * self.slowdown
        return wait + prefill_time + self.generation_seconds()

    def prefill_headroom(self, max_gap=None):
        """Return the seconds of prefill that can be added to the next pass.

        With more, the gap between two events of a stream would be longer than its caller accepts.
        `max_gap` is the longest gap between events that a new call on this engine would accept.
        The result is negative if a gap is already expected to be too long.
        """
        max_gaps = [generation.max_gap for generation in self.generating.values()]
        max_gaps.extend(prefill.max_gap for prefill in self.prefills.values() if prefill.generates)
        if max_gap is not None:
            max_gaps.append(max_gap)
        if not max_gaps:
            return float("inf")
        extra = 0 if max_gap is None else 1
        return min(max_gaps) - self.generation_seconds(extra=extra) - self.pending_prefill()

    def lateness_limits(self, now):
        """Return a (limit, weight) pair for each call that more prefill can make late.

        Prefill that takes longer than the limit, in seconds, makes the call late.  It is assumed
        to go first.  A stream is late if the gap between its events becomes too long, a waiting
        call if its first event comes after it is due.  Calls that would be late anyway do not
        count.
        """
        if not self.generating and not self.prefills:
            return []
        before = self.generation_seconds() + self.pending_prefill()
        limits = [(each.max_gap - before, each.weight) for each in self.generating.values()]
        ready = max(now, self.busy_until) + before
        limits.extend(
            (waiting.due - ready, waiting.weight)
            for waiting in self.prefills.values()
            if waiting.generates
        )
        return [(limit, weight) for limit, weight in limits if limit >= 0.0]

    def lateness_cost(self, prefill, now):
        """Return the weight of the calls that `prefill` more seconds of prefill make late."""
        return sum(weight for limit, weight in self.lateness_limits(now) if limit < prefill)


def prefill_order(item):
    """Return the sort key of waiting prefills: parts for other engines come first."""
    return item[1].generates
