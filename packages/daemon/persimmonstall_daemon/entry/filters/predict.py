"""Predicts how much output a request will use, and learns from what it used."""

import attrs

from ..filter import Filter
from ..request import Answer


class Predict(Filter):
    """Sets the predicted output tokens; a refusal teaches nothing."""

    name = "predict"

    def __init__(self, entry):
        self.entry = entry

    async def admit(self, work):
        """Return the work with its predicted use."""
        if work.service:
            return work
        return attrs.evolve(work, predicted_tokens=self.entry.placer.predict(work))

    async def settle(self, work, outcome):
        """Record the use of a whole answer."""
        if isinstance(outcome, Answer) and not work.service:
            self.entry.placer.observe_output(work, outcome.count)
        return outcome
