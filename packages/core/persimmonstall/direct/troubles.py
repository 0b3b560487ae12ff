"""Endpoints that failed lately: a score that fades, so that they are tried again."""

import math

import attrs

FADE_SECONDS = 3.0
"""Time constant with which a failure is forgotten."""

MOST_SCORE = 3.0


@attrs.define
class Troubles:
    """Scores by endpoint name; about 1 right after one failure.

    >>> troubles = Troubles()
    >>> troubles.failed("e", 0.0)
    >>> troubles.score("e", 0.0), round(troubles.score("e", 3.0), 2), troubles.score("f", 0.0)
    (1.0, 0.37, 0.0)
    """

    scores: dict = attrs.field(factory=dict)

    def score(self, name, now):
        """Return the faded score of an endpoint."""
        value, at = self.scores.get(name, (0.0, now))
        return value * math.exp((at - now) / FADE_SECONDS) if value else 0.0

    def failed(self, name, now, weight=1.0):
        """Note a failure at an endpoint."""
        self.scores[name] = (min(MOST_SCORE, self.score(name, now) + weight), now)

    def succeeded(self, name, now):
        """Note a whole answer: half of the score is forgotten."""
        value = self.score(name, now)
        if value:
            self.scores[name] = (value / 2, now)

    def forget(self, names):
        """Drop all endpoints but those in `names`."""
        for name in set(self.scores) - set(names):
            del self.scores[name]
