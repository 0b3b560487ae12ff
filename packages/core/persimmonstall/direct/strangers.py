"""Addresses at which other entries may be, and how many of them are greeted at a time.

Most of those that the directory lists may be gone.  The greetings leave room on the link and at
the processors for what goes to entries that have answered.
"""

import collections

import attrs

from ..limits.bucket import Bucket

GREETINGS_PER_SECOND = 200.0
GREETING_BURST = 100.0
"""Greetings sent per second, and at once; a quarter of all datagrams that may be sent."""

TIMEOUT_SECONDS = 15.0
"""Time after it was last named for which an address is greeted."""


def new_bucket():
    """Return the bucket of the greetings."""
    return Bucket(GREETINGS_PER_SECOND, GREETING_BURST, 0.0)


@attrs.define
class Strangers:
    """The addresses that have not answered yet, with the times at which they were last named.

    `queue` has them in the order in which they are greeted; it may have others too.
    """

    named: dict = attrs.field(factory=dict)
    queue: collections.deque = attrs.field(factory=collections.deque)
    bucket: Bucket = attrs.field(factory=new_bucket)

    def add(self, address, now, first=False):
        """Add an address, greeted before the others if it comes `first`."""
        known = address in self.named
        self.named[address] = now
        if not known:
            (self.queue.appendleft if first else self.queue.append)(address)

    def remove(self, address):
        """Remove an address, that of an entry which has answered."""
        self.named.pop(address, None)

    def expire(self, now):
        """Remove the addresses that were named long ago."""
        for address, named_at in list(self.named.items()):
            if now - named_at > TIMEOUT_SECONDS:
                del self.named[address]

    def next_greeted(self, now):
        """Return the addresses to greet now, each at most once; they come last the next time.

        >>> strangers = Strangers()
        >>> for address in ("a:1", "b:1"):
        ...     strangers.add(address, 0.0)
        >>> strangers.add("c:1", 0.0, first=True)
        >>> strangers.remove("a:1")
        >>> strangers.next_greeted(0.0)
        ['c:1', 'b:1']
        """
        self.queue = collections.deque(filter(self.named.__contains__, self.queue))
        count = min(len(self.queue), int(self.bucket.refill(now)))
        greeted = [self.queue.popleft() for _ in range(count)]
        self.queue.extend(greeted)
        self.bucket.take(count, now)
        return greeted
