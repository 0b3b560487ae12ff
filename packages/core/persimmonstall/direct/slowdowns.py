"""How slow model engines are against their figures, by the pauses of the streams they write.

Answers days on which some engines work several times as long as usual while their health is good.
"""

import collections

import attrs

SAMPLES = 3
"""Latest pauses of an engine that are looked at; the shortest one counts, since a single long
pause may come from a prompt that this entry does not know of."""

SLOW_PACE = 2.0
"""Ratio of a pause to the predicted one from which an engine counts as slow."""

MAX_PACE = 8.0

LAPSE_SECONDS = 1.5
"""Time after the last pause seen after which an engine is taken to be as fast as its figures."""


@attrs.define
class Slowdowns:
    """Ratios of seen to predicted pauses by endpoint name; 1 is as fast as the figures say.

    >>> slowdowns = Slowdowns()
    >>> for ratio in (5.0, 4.0, 6.0):
    ...     changed = slowdowns.observe("e", ratio, 0.0)
    >>> changed
    True
    >>> slowdowns.slowdown("e", 0.1), slowdowns.slowdown("e", 9.0), slowdowns.slowdown("f", 0.1)
    (4.0, 1.0, 1.0)
    """

    samples: dict = attrs.field(factory=dict)
    others: dict = attrs.field(factory=dict)

    def observe(self, name, ratio, now):
        """Note that a pause of a stream was `ratio` times the predicted one.

        Return whether the engine counts as slow from now on, or no more.
        """
        was_slow = self.local_slowdown(name, now) > 1.0
        samples = self.samples.setdefault(name, collections.deque(maxlen=SAMPLES))
        samples.append((ratio, now))
        return (self.local_slowdown(name, now) > 1.0) is not was_slow

    def slowdown(self, name, now):
        """Return an endpoint's pace, by this entry or another, whichever is slower."""
        return max(self.local_slowdown(name, now), self.heard(name, now))

    def local_slowdown(self, name, now):
        """Return an endpoint's pace by the streams of this entry."""
        fresh = [ratio for ratio, at in self.samples.get(name, ()) if now - at < LAPSE_SECONDS]
        if len(fresh) < SAMPLES or min(fresh) < SLOW_PACE:
            return 1.0
        return min(MAX_PACE, *fresh)

    def heard(self, name, now):
        """Return an endpoint's pace as another entry told it."""
        slowdown, at = self.others.get(name, (1.0, now))
        return slowdown if now - at < LAPSE_SECONDS else 1.0

    def local_state(self, now):
        """Return the (name, pace) pairs of slow endpoints, as other entries are told."""
        slowdowns = ((name, self.local_slowdown(name, now)) for name in self.samples)
        return tuple((name, round(slowdown, 1)) for name, slowdown in slowdowns if slowdown > 1.0)

    def merge_remote(self, remote, now):
        """Take the paces that another entry tells."""
        for name, slowdown in remote:
            self.others[name] = (slowdown, now)

    def forget(self, names):
        """Drop all endpoints but those in `names`."""
        for known in (self.samples, self.others):
            for name in set(known) - set(names):
                del known[name]
