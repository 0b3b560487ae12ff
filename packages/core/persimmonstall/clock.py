"""Clocks and random source that are passed to the tasks around the decision logic."""

import time
from random import Random

import attrs


@attrs.define
class Context:
    """Clocks and random source of a task, replaced in tests.

    `now` returns monotonic seconds, `wall` returns Unix seconds.
    """

    now: object = time.monotonic
    wall: object = time.time
    random: Random = attrs.field(factory=Random)

    def jitter(self, seconds, fraction=0.2):
        """Return `seconds` varied at random by up to `fraction` of it in either direction.

        >>> 0.8 <= Context(random=Random(1)).jitter(1.0) <= 1.2
        True
        """
        return seconds * (1.0 + fraction * (2.0 * self.random.random() - 1.0))
