"""Predicts the number of output tokens of a request and learns from its answer."""

import attrs

from ..filter import Filter
from ..request import Answer


class Predict(Filter):
    """Sets the predicted output tokens; only answers update the prediction."""

    name = "predict"

    def __init__(self, entry):
        self.entry = entry

    async def admit(self, work):
        """Return the work with its predicted output tokens."""
        if work.service:
            return work
        return attrs.evolve(work, predicted_tokens=self.entry.placer.predict(work))

    async def settle(self, work, outcome):
        """Record the output tokens of an answer."""
        if isinstance(outcome, Answer) and not work.service:
            self.entry.placer.observe_output(work, outcome.count)
        return outcome
