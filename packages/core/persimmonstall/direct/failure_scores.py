"""Endpoints that failed lately: a score that fades, so that they are tried again."""

import math

import attrs

FADE_SECONDS = 3.0
"""Time constant with which a failure is forgotten."""

MAX_SCORE = 3.0

TOLD_SCORE = 0.3
"""Score from which other entries are told."""


@attrs.define
class FailureScores:
    """Scores by endpoint name; about 1 right after one failure.

    >>> failure_scores = FailureScores()
    >>> failure_scores.record_failure("e", 0.0)
    >>> failure_scores.score("e", 0.0), round(failure_scores.score("e", 3.0), 2), failure_scores.score("f", 0.0)
    (1.0, 0.37, 0.0)
    """

    scores: dict = attrs.field(factory=dict)
    others: dict = attrs.field(factory=dict)

    def score(self, name, now):
        """Return the faded score of an endpoint, by this entry or another, whichever is worse."""
        heard = [faded(*self.others[name], now)] if name in self.others else []
        return max(self.own(name, now), *heard, 0.0)

    def own(self, name, now):
        """Return the faded score of an endpoint by this entry's own failures."""
        return faded(*self.scores[name], now) if name in self.scores else 0.0

    def record_failure(self, name, now, weight=1.0):
        """Note a failure at an endpoint."""
        self.scores[name] = (min(MAX_SCORE, self.own(name, now) + weight), now)

    def record_success(self, name, now):
        """Note a whole answer: half of the score is forgotten."""
        if name in self.scores:
            self.scores[name] = (self.own(name, now) / 2, now)
        if name in self.others:
            self.others[name] = (faded(*self.others[name], now) / 2, now)

    def local_state(self, now):
        """Return the (name, score) pairs that other entries are told."""
        own = ((name, self.own(name, now)) for name in self.scores)
        return tuple((name, round(score, 2)) for name, score in own if score >= TOLD_SCORE)

    def merge_remote(self, remote, now):
        """Take the scores that another entry tells."""
        for name, score in remote:
            if name not in self.others or faded(*self.others[name], now) < score:
                self.others[name] = (score, now)

    def forget(self, names):
        """Drop all endpoints but those in `names`."""
        for scores in (self.scores, self.others):
            for name in set(scores) - set(names):
                del scores[name]


def faded(value, at, now):
    """Return what is left at `now` of a score that was `value` at the time `at`."""
    return value * math.exp((at - now) / FADE_SECONDS)
