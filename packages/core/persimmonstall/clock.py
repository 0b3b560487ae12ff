"""Clock and random source that are handed to the tasks around the decisions."""

import time
from random import Random

import attrs


@attrs.define
class Context:
    """What a task gets from outside its decisions.

    `now` returns monotonic seconds, `wall` returns Unix seconds, `random` is seeded in tests.
    """

    now: object = time.monotonic
    wall: object = time.time
    random: Random = attrs.field(factory=Random)

    def jitter(self, seconds, share=0.2):
        """Return `seconds` changed at random by up to `share` either way.

        >>> 0.8 <= Context(random=Random(1)).jitter(1.0) <= 1.2
        True
        """
        return seconds * (1.0 + share * (2.0 * self.random.random() - 1.0))
