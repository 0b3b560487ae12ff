"""Turns for expensive work, so that cheap work goes on beside it.

The load it answers: callers whose requests are cheap to send and dear to parse, such as bodies in
very small chunks and heads of very many fields.  All of them together take turns; a caller whose
requests cost little is never held up.
"""

import attrs

WORK_SHARE = 0.6
"""Share of the time that expensive work may take."""


@attrs.frozen(eq=False)
class Turn:
    """A piece of expensive work that takes `seconds`; `go_on()` is called when its turn comes."""

    seconds: float
    go_on: object


@attrs.define
class TurnQueue:
    """The turns that wait, in order; the next one comes at `free_at`.

    One that is withdrawn, since its caller has left, delays nobody.

    >>> queue = TurnQueue()
    >>> first, second, third = (Turn(0.06, None) for _ in range(3))
    >>> for turn in (first, second, third):
    ...     queue.add(turn)
    >>> queue.withdraw(second)
    >>> queue.next(10.0) is first, queue.next(10.05), queue.next(10.1) is third
    (True, None, True)
    """

    waiting: dict = attrs.field(factory=dict)
    waiting_seconds: float = 0.0
    free_at: float = 0.0

    def add(self, turn):
        """Let a turn wait."""
        self.waiting[turn] = None
        self.waiting_seconds += turn.seconds

    def withdraw(self, turn):
        """Let a turn wait no more; harmless if it came or was withdrawn."""
        if turn not in self.waiting:
            return
        del self.waiting[turn]
        self.waiting_seconds = self.waiting_seconds - turn.seconds if self.waiting else 0.0

    def next(self, now):
        """Return the turn that comes now, None if none does."""
        if now < self.free_at or not self.waiting:
            return None
        turn = next(iter(self.waiting))
        self.withdraw(turn)
        self.free_at = now + turn.seconds / WORK_SHARE
        return turn

    def seconds_until_free(self, now):
        """Return the seconds until the next turn comes."""
        return max(0.0, self.free_at - now)

    def expected_wait(self, now):
        """Return the seconds after which the turn of work that is added now would come."""
        return self.seconds_until_free(now) + self.waiting_seconds / WORK_SHARE
