"""Scores endpoints by recent failures; a score decays, so that the endpoint is tried again.

An endpoint that is silent now has a score as well, which ends as soon as it goes on.
"""

import math

import attrs

from .reported_values import ReportedValues

DECAY_SECONDS = 3.0
"""Time constant of the exponential decay of a score."""

MAX_SCORE = 3.0
"""Upper bound of a score by this entry's own failures."""

MIN_REPORTED_SCORE = 0.3
"""Minimum score that is sent to other entries."""

SILENT_SCORE = 1.0
"""Minimum score of a silent endpoint."""

SILENT_SECONDS = 1.0
"""Time after which an endpoint is tried again that was silent when last waited for."""


@attrs.define
class FailureScores:
    """Scores by endpoint name, of this entry and as `reported` by others; one failure adds 1.

    `silent` maps the names of silent endpoints to the time at which they were last waited for.

    >>> scores = FailureScores()
    >>> scores.record_failure("e", 0.0)
    >>> scores.score("e", 0.0), round(scores.score("e", 3.0), 2), scores.score("f", 0.0)
    (1.0, 0.37, 0.0)
    """

    scores: dict = attrs.field(factory=dict)
    reported: ReportedValues = attrs.field(factory=lambda: ReportedValues(decayed))
    silent: dict = attrs.field(factory=dict)

    def score(self, name, now):
        """Return an endpoint's decayed score, by this entry or another, whichever is higher."""
        silent_score = SILENT_SCORE if self.is_silent(name, now) else 0.0
        return max(self.local_score(name, now), self.reported.value(name, now), silent_score)

    def is_silent(self, name, now):
        """Return whether an endpoint was silent when last waited for, a short time ago."""
        return name in self.silent and now - self.silent[name] < SILENT_SECONDS

    def local_score(self, name, now):
        """Return the decayed score of an endpoint by the failures that this entry saw."""
        return decayed(*self.scores[name], now) if name in self.scores else 0.0

    def record_failure(self, name, now, weight=1.0):
        """Record a failure at an endpoint."""
        self.scores[name] = (min(MAX_SCORE, self.local_score(name, now) + weight), now)

    def record_silence(self, name, now):
        """Record that an endpoint is silent."""
        self.silent[name] = now

    def record_sign_of_life(self, name):
        """Record that an endpoint has sent something."""
        self.silent.pop(name, None)

    def record_success(self, name, now):
        """Record a complete answer of an endpoint, which halves its score.

        Return whether other data centres reported failures that this one does not see.
        """
        if name in self.scores:
            self.scores[name] = (self.local_score(name, now) / 2, now)
        return self.reported.record_sound(name, now)

    def local_state(self, now):
        """Return the (name, score) pairs to be sent to other entries."""
        local_scores = ((name, self.local_score(name, now)) for name in self.scores)
        return tuple(
            (name, round(score, 2)) for name, score in local_scores if score >= MIN_REPORTED_SCORE
        )

    def merge_remote(self, remote, now, data_centre=""):
        """Merge the scores reported by another entry; of two, the higher one stays."""
        for name, score in remote:
            self.reported.merge(name, score, data_centre, now)

    def forget(self, names):
        """Drop all endpoints except those in `names`."""
        self.reported.forget(names)
        for scores in (self.scores, self.silent):
            for name in set(scores) - set(names):
                del scores[name]


def decayed(value, at, now):
    """Return the decayed score at `now` of one that was `value` at the time `at`."""
    return value * math.exp((at - now) / DECAY_SECONDS)
