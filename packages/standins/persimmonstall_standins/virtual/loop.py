"""An asyncio event loop whose clock jumps to the next timer when nothing is ready."""

import asyncio
import selectors

STALL_SECONDS = 1.0
"""Real seconds to wait for other threads before a loop without timers counts as stalled."""


class StalledError(RuntimeError):
    """Every task waits and no timer is set: the loop is deadlocked."""


class VirtualSelector(selectors.SelectSelector):
    """Polls without blocking and advances the clock by the timeout instead."""

    def __init__(self):
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout=None):
        """Return the ready events; if there are none, advance the clock by `timeout`."""
        if timeout is None:
            ready = super().select(STALL_SECONDS)
            if not ready:
                raise StalledError("every task waits and no timer is set")
            return ready
        ready = super().select(0)
        if not ready and timeout > 0:
            self.elapsed += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, which starts at 0 and jumps to the next timer."""

    def __init__(self):
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.virtual_selector.elapsed


def run(main):
    """Run the coroutine `main` on a new virtual loop and return its result.

    >>> async def nap():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run(nap())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
