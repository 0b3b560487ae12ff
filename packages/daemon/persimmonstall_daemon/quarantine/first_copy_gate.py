"""Lets one copy of new content go first, so that copies of it do not crash several engines."""

import asyncio
from collections import OrderedDict

MAX_PROVEN = 4_096
"""Fingerprints remembered as harmless; the oldest are forgotten first."""

WAIT_SHARE = 0.25
"""Largest part of its remaining time for which a copy waits."""


class FirstCopyGate:
    """Copies of one content at one entry.

    The first copy leads until it has its first token or ends; the others wait for that, and
    then also find the prompt in the engine's prefix cache.
    """

    def __init__(self):
        self.leaders = {}
        self.proven = OrderedDict()

    async def wait_or_lead(self, fingerprint, remaining):
        """Wait until a copy may go; return whether it leads.  `remaining` is in seconds."""
        try:
            async with asyncio.timeout(WAIT_SHARE * remaining):
                while fingerprint in self.leaders:
                    await self.leaders[fingerprint].wait()
        except TimeoutError:
            return False
        if fingerprint in self.proven:
            self.proven.move_to_end(fingerprint)
            return False
        self.leaders[fingerprint] = asyncio.Event()
        return True

    def record_first_token(self, fingerprint):
        """Note that a copy has its first token."""
        if fingerprint in self.proven:
            return
        self.proven[fingerprint] = True
        if len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)
        self.record_end(fingerprint)

    def record_end(self, fingerprint):
        """Let the others go: the leading copy has come through, or ended."""
        event = self.leaders.pop(fingerprint, None)
        if event is not None:
            event.set()
