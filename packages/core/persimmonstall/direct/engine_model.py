"""Predicts the passes of a model engine from its figures and from what was sent to it."""

import attrs

WHOLE_STEPS = 4
"""Steps treated as one pass while nothing is written; only bounds the work of a prediction."""

MAX_PASSES = 64
"""Passes followed in one go; an engine that was not looked at for longer is taken as caught up."""

DONE = 1e-6
"""Rest of a read, in seconds, below which it is complete."""


def prefill_seconds(figures, tokens):
    """Return the time in which one engine reads a prompt of `tokens`, without writing.

    >>> from .messages import EngineProfile
    >>> figures = EngineProfile(8, 232_000, 0.001, 0, 0, 1 / 206_000, 138e-12, 2048, 43)
    >>> round(prefill_seconds(figures, 133_000), 2)
    1.87
    """
    return tokens * figures.token_read + 0.5 * tokens * tokens * figures.pair_read


@attrs.define
class Read:
    """A prompt, or a part of one, that is still to be read; `seconds` are left of it.

    Its caller accepts pauses of `gap` and wants the first event by `due`.  Parts that are read
    for another engine do not write, and are read first.
    """

    seconds: float
    context: int
    writes: bool
    gap: float
    due: float
    worth: float


@attrs.define
class Write:
    """A sequence that is being written over `context` tokens; its caller accepts `gap`."""

    context: int
    gap: float
    worth: float


@attrs.define
class EngineModel:
    """What one engine is predicted to do; `busy_until` is the end of the pass it is in.

    `slowdown` is how much slower than its figures the engine has been.
    """

    figures: object
    busy_until: float = 0.0
    slowdown: float = 1.0
    reads: dict = attrs.field(factory=dict)
    writes: dict = attrs.field(factory=dict)
    taken: dict = attrs.field(factory=dict)
    memory: dict = attrs.field(factory=dict)

    def write_seconds(self, extra=0):
        """Return the time of a pass that only writes, with `extra` more sequences."""
        count = len(self.writes) + extra
        if not count:
            return self.figures.step * self.slowdown
        context = sum(write.context for write in self.writes.values())
        step = (
            self.figures.step
            + count * self.figures.per_sequence
            + context * self.figures.per_context
        )
        return self.figures.stride * step * self.slowdown

    def pending(self):
        """Return the seconds of reading that the next pass begins with."""
        return sum(read.seconds for read in self.reads.values()) - sum(self.taken.values())

    def longest_pass(self):
        """Return the most reading, in seconds, that one pass does."""
        steps = self.figures.stride if self.writes else WHOLE_STEPS
        return steps * self.figures.chunk * self.figures.token_read * self.slowdown

    def advance(self, now):
        """Follow the passes up to `now`."""
        for _ in range(MAX_PASSES):
            if self.busy_until > now:
                return
            self.finish_pass()
            if not self.reads and not self.writes:
                break
            self.start_pass()
        else:
            self.reads.clear()
        self.busy_until = max(self.busy_until, now)

    def start_pass(self):
        """Choose the reads of the next pass and when it ends."""
        room = self.longest_pass()
        for attempt, read in sorted(self.reads.items(), key=read_order):
            part = min(read.seconds, room)
            if part <= 0.0:
                break
            self.taken[attempt] = part
            room -= part
        self.busy_until += self.write_seconds() + sum(self.taken.values())

    def expected_gap(self):
        """Return the seconds between two events of a stream at the pace of the figures."""
        reading = min(self.pending(), self.longest_pass())
        return (self.write_seconds() + reading) / self.slowdown

    def finish_pass(self):
        """Take what the last pass read off the reads; whole ones begin to write."""
        for attempt, part in self.taken.items():
            read = self.reads.get(attempt)
            if read is None:
                continue
            read.seconds -= part
            if read.seconds <= DONE:
                self.complete(attempt)
        self.taken.clear()

    def complete(self, attempt):
        """Note that a prompt has been read; one of this engine's own begins to write."""
        read = self.reads.pop(attempt, None)
        if read is not None and read.writes:
            self.writes[attempt] = Write(read.context, read.gap, read.worth)

    def begin(self, attempt, demand, now):
        """Add a `EndpointDemand` of a flight."""
        self.advance(now)
        self.memory[attempt] = demand.memory
        self.reads[attempt] = Read(
            demand.read * self.slowdown,
            demand.context,
            demand.writes,
            demand.gap,
            now + demand.patience,
            demand.worth,
        )
        if self.busy_until <= now:
            self.busy_until = now
            self.start_pass()

    def end(self, attempt):
        """Forget a flight."""
        self.reads.pop(attempt, None)
        self.writes.pop(attempt, None)
        self.taken.pop(attempt, None)
        self.memory.pop(attempt, None)

    def prefill_done(self, attempt):
        """Note that a flight's first event was seen: its prompt has been read."""
        self.taken.pop(attempt, None)
        self.complete(attempt)

    def free_memory(self):
        """Return the tokens of memory that no flight is expected to use."""
        return self.figures.memory - sum(self.memory.values())

    def running(self):
        """Return the number of sequences that hold or will hold a slot."""
        return len(self.writes) + sum(1 for read in self.reads.values() if read.writes)

    def predict_first_event(self, read, now):
        """Return the seconds until a new call that takes `read` seconds has its first event.

        It comes at the end of the pass in which the prompt has been read.
        """
        wait = max(0.0, self.busy_until - now)
        reading = self.pending() + read * self.slowdown
        return wait + reading + self.write_seconds()

    def room(self, gap=None):
        """Return the seconds of reading that the next pass can take within all pauses allowed.

        `gap` is the pause that a new call on this engine would accept.
        """
        gaps = [write.gap for write in self.writes.values()]
        gaps.extend(read.gap for read in self.reads.values() if read.writes)
        if gap is not None:
            gaps.append(gap)
        if not gaps:
            return float("inf")
        extra = 0 if gap is None else 1
        return min(gaps) - self.write_seconds(extra=extra) - self.pending()

    def harm(self, read, now):
        """Return the worth of calls here that `read` more seconds, read first, would make late.

        Those are streams whose pause becomes too long, and calls whose first event is delayed
        beyond its time.  What is late already does not count.
        """
        before = self.write_seconds() + self.pending()
        after = before + read
        harmed = sum(w.worth for w in self.writes.values() if before <= w.gap < after)
        ready = max(now, self.busy_until) + before
        return harmed + sum(
            r.worth for r in self.reads.values() if r.writes and ready <= r.due < ready + read
        )


def read_order(item):
    """Return the key by which reads are taken: parts for other engines first."""
    return item[1].writes
