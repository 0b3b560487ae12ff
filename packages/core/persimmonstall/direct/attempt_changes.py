"""Which attempts of this entry changed, so that a beacon can carry the changes alone."""

import attrs


@attrs.define
class AttemptChanges:
    """Attempts by the number of their last change; `last` is the newest number.

    >>> changes = AttemptChanges()
    >>> changes.record("a")
    >>> seen = changes.last
    >>> changes.record("b")
    >>> changes.since(seen)
    ('b',)
    """

    last: int = 0
    numbers: dict[str, int] = attrs.field(factory=dict)

    def record(self, name):
        """Record that an attempt began, sent its first event or ended."""
        self.last += 1
        self.numbers[name] = self.last

    def since(self, number):
        """Return the names of the attempts that changed after the change `number`."""
        return tuple(name for name, changed in self.numbers.items() if changed > number)

    def forget(self, number):
        """Drop the changes up to `number`."""
        for name in [name for name, changed in self.numbers.items() if changed <= number]:
            del self.numbers[name]
