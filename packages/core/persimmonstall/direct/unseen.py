"""Estimates how much work the other entries have placed that this entry does not know of yet."""

import enum
import math

import attrs

from .beacon_pacing import heartbeat_interval

RATE_SECONDS = 1.0
"""Time constant of the exponential average by which rates are measured."""

DELAY_WEIGHT = 0.2
"""Weight of the newest delay in their exponential average."""

NETWORK_SECONDS = 0.002
"""Time that a datagram travels."""

SILENCE_FACTOR = 1.5
"""Multiple of the interval of beacons from which a peer's silence counts: its beacons are lost or
late, and so is what they would say."""

REVIEW_SECONDS = 0.05
"""Time for which the mean silence of the peers is remembered."""


class WorkKind(enum.Enum):
    """Kinds of work that are placed by different rules."""

    SHORT = "short"
    PART = "part"
    PLAIN = "plain"


def kind_of(attempt):
    """Return the `WorkKind` of an attempt's demands."""
    if len(attempt.demands) > 1:
        return WorkKind.PART
    generates = any(demand.prefill for demand in attempt.demands)
    return WorkKind.SHORT if generates else WorkKind.PLAIN


@attrs.define
class DecayingRate:
    """Rate of events, averaged over about `RATE_SECONDS`.

    >>> rate = DecayingRate()
    >>> for number in range(500):
    ...     rate.add(1, number * 0.1)
    >>> round(rate.per_second(50.0))
    10
    """

    value: float = 0.0
    at: float = 0.0

    def per_second(self, now):
        """Return the rate per second at the time `now`."""
        return self.value * math.exp(min(0.0, self.at - now) / RATE_SECONDS)

    def add(self, count, now):
        """Add `count` events."""
        self.value = self.per_second(now) + count / RATE_SECONDS
        self.at = now


@attrs.define
class UnseenWork:
    """Rates at which other entries place work, and how late this entry hears of it.

    `delay` is the usual time in seconds from a placement to the beacon that names it; all entries
    send by the same rules, so that an entry takes its own for that of the others.
    """

    rates: dict = attrs.field(factory=lambda: {kind: DecayingRate() for kind in WorkKind})
    delay: float = 0.0
    silence: float = 0.0
    reviewed_at: float = -math.inf

    def record(self, kind, count, now):
        """Record that another entry has placed `count` pieces of work."""
        self.rates[kind].add(count, now)

    def record_attempt(self, attempt, now):
        """Record an attempt of another entry."""
        self.record(kind_of(attempt), len(attempt.demands), now)

    def record_delay(self, seconds):
        """Record the time from a placement of this entry to the beacon that names it."""
        self.delay += DELAY_WEIGHT * (seconds - self.delay) if self.delay else seconds

    def count(self, kind, last_beacon_at, now):
        """Return the expected number of pieces of work that were placed and are not known yet.

        `last_beacon_at` maps the other entries to the times of their last beacons.

        >>> unseen = UnseenWork(delay=0.038)
        >>> for number in range(1000):
        ...     unseen.record(WorkKind.SHORT, 1, number * 0.01)
        >>> round(unseen.count(WorkKind.SHORT, {"a": 10.0}, 10.0), 1)
        4.0
        """
        if not last_beacon_at:
            return 0.0
        if not 0.0 <= now - self.reviewed_at <= REVIEW_SECONDS:
            self.silence = mean_silence(last_beacon_at, now)
            self.reviewed_at = now
        age = self.delay + NETWORK_SECONDS + self.silence
        return self.rates[kind].per_second(now) * age


def mean_silence(last_beacon_at, now):
    """Return by how many seconds the other entries' beacons are overdue in the mean."""
    usual = SILENCE_FACTOR * heartbeat_interval(len(last_beacon_at))
    overdue = (max(0.0, now - at - usual) for at in last_beacon_at.values())
    return sum(overdue) / len(last_beacon_at)
