"""What changed lately, so that a datagram can carry the changes alone."""

import attrs


@attrs.define
class ChangeLog:
    """Keys by the number of their last change; each change is sent twice, as datagrams get lost.

    `last` is the newest number; `sent` and `repeated` are the newest numbers that were sent once
    and twice.

    >>> changes = ChangeLog()
    >>> changes.record("a")
    >>> changes.mark_sent()
    >>> changes.record("b")
    >>> changes.pending()
    ('a', 'b')
    >>> changes.mark_sent()
    >>> changes.pending()
    ('b',)
    """

    last: int = 0
    sent: int = 0
    repeated: int = 0
    numbers: dict = attrs.field(factory=dict)

    def record(self, key):
        """Record that `key` changed."""
        self.last += 1
        self.numbers[key] = self.last

    def pending(self):
        """Return the keys whose last change has not been sent twice."""
        return tuple(key for key, changed in self.numbers.items() if changed > self.repeated)

    def mark_sent(self):
        """Record that the pending changes were sent; forget those that were sent twice."""
        self.repeated, self.sent = self.sent, self.last
        for key in [key for key, changed in self.numbers.items() if changed <= self.repeated]:
            del self.numbers[key]
