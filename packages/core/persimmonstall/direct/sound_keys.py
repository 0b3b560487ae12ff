"""Contents or parts of prompts that an endpoint has lately answered completely."""

import attrs

SOUND_SECONDS = 120.0
"""Time after a complete answer for which what it answered counts as sound."""


@attrs.define
class SoundKeys:
    """The `limit` keys whose complete answers are the newest, with the times of these.

    >>> keys = SoundKeys(limit=2)
    >>> for at, key in enumerate("abac"):
    ...     keys.add(key, at)
    >>> [keys.is_sound(key, 4.0) for key in "abc"], keys.is_sound("c", 300.0)
    ([True, False, True], False)
    """

    limit: int
    times: dict = attrs.field(factory=dict)

    def add(self, key, now):
        """Record a complete answer."""
        self.times.pop(key, None)
        self.times[key] = now
        while len(self.times) > self.limit:
            del self.times[next(iter(self.times))]

    def is_sound(self, key, now):
        """Return whether a recent answer was complete."""
        at = self.times.get(key)
        return at is not None and now - at < SOUND_SECONDS
