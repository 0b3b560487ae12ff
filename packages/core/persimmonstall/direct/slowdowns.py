"""Measures how slow model engines are compared with their profile, by the gaps of their streams.

This detects engines that are several times slower than usual although their health checks pass.
"""

import collections
import math

import attrs

from .change_log import ChangeLog
from .reported_values import ReportedValues

SAMPLES = 3
"""Number of latest gaps of an engine that are considered; the shortest one counts, since a single
long gap may be caused by a prompt that this entry does not know of."""

SLOW_RATIO = 2.0
"""Ratio of a gap to the predicted one from which an engine counts as slow."""

MAX_SLOWDOWN = 8.0
"""Upper bound of a slowdown."""

EXPIRY_SECONDS = 1.5
"""Time after which a measured gap expires, and time constant by which a reported slowdown decays;
without recent ones an engine counts as fast."""

REPORTED_RATIO = 1.1
"""Slowdown below which what is left of a report no longer counts."""


@attrs.define
class Slowdowns:
    """Ratios of measured to predicted gaps between the events of a stream, by endpoint name.

    A ratio of 1 means as fast as predicted.  `reported` holds by how much the slowdowns that other
    entries measured exceed 1, `changes` the engines that became slow or normal here lately.

    >>> slowdowns = Slowdowns()
    >>> for ratio in (5.0, 4.0, 6.0):
    ...     changed = slowdowns.observe("e", ratio, 0.0)
    >>> changed
    True
    >>> slowdowns.slowdown("e", 0.1), slowdowns.slowdown("e", 9.0), slowdowns.slowdown("f", 0.1)
    (4.0, 1.0, 1.0)
    """

    samples: dict = attrs.field(factory=dict)
    reported: ReportedValues = attrs.field(factory=lambda: ReportedValues(decayed_excess))
    changes: ChangeLog = attrs.field(factory=ChangeLog)

    def observe(self, name, ratio, now):
        """Record that a gap between events was `ratio` times as long as predicted.

        Return whether the engine has just become slow or normal again.
        """
        was_slow = self.local_slowdown(name, now) > 1.0
        samples = self.samples.setdefault(name, collections.deque(maxlen=SAMPLES))
        samples.append((ratio, now))
        is_slow = self.local_slowdown(name, now) > 1.0
        if is_slow is not was_slow:
            self.changes.record(name)
        elif not is_slow and len(samples) == SAMPLES and now - samples[0][1] < EXPIRY_SECONDS:
            self.reported.record_sound(name, now)
        return is_slow is not was_slow

    def slowdown(self, name, now):
        """Return an endpoint's slowdown by this or another entry, whichever is greater."""
        return max(self.local_slowdown(name, now), self.remote_slowdown(name, now))

    def local_slowdown(self, name, now):
        """Return an endpoint's slowdown as measured by this entry."""
        recent = [ratio for ratio, at in self.samples.get(name, ()) if now - at < EXPIRY_SECONDS]
        if len(recent) < SAMPLES or min(recent) < SLOW_RATIO:
            return 1.0
        return min(MAX_SLOWDOWN, *recent)

    def remote_slowdown(self, name, now):
        """Return an endpoint's slowdown as reported by other entries, and not refuted."""
        return 1.0 + self.reported.value(name, now)

    def local_state(self, now):
        """Return the (name, slowdown) pairs of slow endpoints, to be sent to other entries."""
        slowdowns = ((name, self.local_slowdown(name, now)) for name in self.samples)
        return tuple((name, round(slowdown, 1)) for name, slowdown in slowdowns if slowdown > 1.0)

    def merge_remote(self, remote, now, data_centre=""):
        """Merge the slowdowns reported by another entry."""
        for name, slowdown in remote:
            self.reported.merge(name, min(MAX_SLOWDOWN, slowdown) - 1.0, data_centre, now)

    def forget(self, names):
        """Drop all endpoints except those in `names`."""
        self.reported.forget(names)
        for name in set(self.samples) - set(names):
            del self.samples[name]


def decayed_excess(value, at, now):
    """Return what is left at `now` of a slowdown that exceeded 1 by `value` at the time `at`."""
    left = value * math.exp((at - now) / EXPIRY_SECONDS)
    return left if left >= REPORTED_RATIO - 1.0 else 0.0
