"""Runs the turns of expensive work of an entry's callers."""

import asyncio

from persimmonstall.direct.pacing import Turn, TurnQueue


class Turns:
    """The `TurnQueue` of an entry, with the timer of the next turn; `now()` is the clock."""

    def __init__(self, now):
        self.now = now
        self.queue = TurnQueue()
        self.timer = None

    def ask(self, seconds, go_on):
        """Return a `Turn` that waits; `go_on()` is called when it comes, never at once."""
        turn = Turn(seconds, go_on)
        self.queue.add(turn)
        self.schedule()
        return turn

    def withdraw(self, turn):
        """Let a turn wait no more; harmless if it came, or is None."""
        self.queue.withdraw(turn)

    async def wait(self, seconds, until):
        """Wait for the turn of work that takes `seconds`; return whether it came in time.

        Return at once if it would not come by the time `until`.
        """
        now = self.now()
        if now + self.queue.expected_wait(now) > until:
            return False
        came = asyncio.Event()
        turn = self.ask(seconds, came.set)
        try:
            async with asyncio.timeout(until - now):
                await came.wait()
        except TimeoutError:
            return False
        finally:
            self.withdraw(turn)
        return True

    def schedule(self):
        """Set the timer of the next turn, unless it is set."""
        if self.timer is None and self.queue.waiting:
            delay = self.queue.seconds_until_free(self.now())
            self.timer = asyncio.get_running_loop().call_later(delay, self.run_next)

    def run_next(self):
        """Run the turn that comes now."""
        self.timer = None
        turn = self.queue.next(self.now())
        try:
            if turn is not None:
                turn.go_on()
        finally:
            self.schedule()
