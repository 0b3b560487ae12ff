"""Lets one copy of new content run first, so that copies do not crash several engines."""

import asyncio
from collections import OrderedDict

MAX_KNOWN_HARMLESS = 4_096
"""Fingerprints remembered as harmless; the least recently used are evicted first."""

WAIT_SHARE = 0.25
"""Largest share of its remaining time for which a copy waits."""


class FirstCopyGate:
    """Orders copies of the same content at one entry.

    The first copy leads until it has its first token or ends.  The others wait for that;
    they can then also use the engine's prefix cache.
    """

    def __init__(self):
        self.leaders = {}
        self.known_harmless = OrderedDict()

    async def wait_or_lead(self, fingerprint, remaining):
        """Wait until a copy may run; return whether it leads.  `remaining` is in seconds."""
        try:
            async with asyncio.timeout(WAIT_SHARE * remaining):
                while fingerprint in self.leaders:
                    await self.leaders[fingerprint].wait()
        except TimeoutError:
            return False
        if fingerprint in self.known_harmless:
            self.known_harmless.move_to_end(fingerprint)
            return False
        self.leaders[fingerprint] = asyncio.Event()
        return True

    def record_first_token(self, fingerprint):
        """Record that a copy has its first token: the content is harmless, the others may run."""
        if fingerprint in self.known_harmless:
            return
        self.known_harmless[fingerprint] = True
        if len(self.known_harmless) > MAX_KNOWN_HARMLESS:
            self.known_harmless.popitem(last=False)
        self.record_end(fingerprint)

    def record_end(self, fingerprint):
        """Wake the waiting copies: the leading one has its first token or has ended."""
        event = self.leaders.pop(fingerprint, None)
        if event is not None:
            event.set()
