"""What it costs in time to serve a call from another data centre.

A call has a connection of its own: opening it takes a round trip, the request and the first bytes
of its answer another one, and a large body several more while the connection's window grows.
"""

import attrs

ROUND_TRIPS = 2
"""Round trips of a small call on a new connection."""

INITIAL_WINDOW_BYTES = 14_600
"""Bytes that a new connection sends before the first acknowledgement; each round trip doubles
them."""


@attrs.frozen
class Delay:
    """One-way delay in seconds between two data centres, the same in both directions."""

    source: str
    target: str
    seconds: float


@attrs.frozen
class Distances:
    """One-way delays between data centres; without any, all count as near.

    >>> distances = Distances.of([Delay("a", "b", 0.003), Delay("a", "c", 0.005)])
    >>> distances.between("b", "a"), distances.between("a", "a"), distances.between("b", "c")
    (0.003, 0.0, 0.005)
    """

    seconds: dict = attrs.field(factory=dict)
    longest: float = 0.0

    @classmethod
    def of(cls, delays):
        """Return the `Distances` that a list of `Delay`s tells."""
        seconds = {}
        for delay in delays:
            seconds[delay.source, delay.target] = delay.seconds
            seconds[delay.target, delay.source] = delay.seconds
        return cls(seconds, max(seconds.values(), default=0.0))

    def between(self, source, target):
        """Return the one-way delay between two data centres; an unknown one is the longest."""
        if source == target or not source or not target:
            return 0.0
        return self.seconds.get((source, target), self.longest)

    def seconds_of_call(self, source, target, body_bytes):
        """Return the seconds by which the way makes the first event of a call later.

        >>> distances = Distances.of([Delay("a", "b", 0.003)])
        >>> round(distances.seconds_of_call("a", "b", 1_200), 3)
        0.012
        >>> round(distances.seconds_of_call("a", "b", 60_000), 3)
        0.03
        """
        delay = self.between(source, target)
        return 2 * delay * round_trips(body_bytes) if delay else 0.0


def round_trips(body_bytes):
    """Return the round trips of a call with a body of `body_bytes` on a new connection."""
    return ROUND_TRIPS + (body_bytes // INITIAL_WINDOW_BYTES).bit_length()
