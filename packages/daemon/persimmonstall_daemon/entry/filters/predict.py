"""Predicts the number of output tokens of a request and learns from its answer."""

import attrs

from ..filter import Filter
from ..request import Answer


class Predict(Filter):
    """Sets the predicted output tokens; only answers update the prediction."""

    name = "predict"

    def __init__(self, parts):
        self.parts = parts

    async def admit(self, work):
        """Return the work with its predicted output tokens."""
        if work.service:
            return work
        return attrs.evolve(work, predicted_tokens=self.parts.placer.predict(work))

    async def settle(self, work, outcome):
        """Record the output tokens of an answer."""
        if isinstance(outcome, Answer) and not work.service:
            self.parts.placer.observe_use(work, outcome.count)
        return outcome
