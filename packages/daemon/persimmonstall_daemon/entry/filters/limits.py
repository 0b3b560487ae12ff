"""Enforces the limits of organisations, whose budgets all entries share."""

import attrs

from persimmonstall.failures import Outcome, Reason, Refusal

from ..filter import Filter
from ..request import Answer

NO_CAPACITY = frozenset(
    (Reason.BUSY, Reason.OVERLOADED, Reason.NO_ENDPOINT, Reason.TOO_LATE, Reason.NO_MEMORY)
)
"""Reasons that mean that no endpoint had capacity."""


class Limits(Filter):
    """Charges the predicted tokens of a request and refunds what it did not use."""

    name = "limits"

    def __init__(self, entry):
        self.entry = entry
        self.charges = {}

    async def admit(self, work):
        """Return the work if the budget of its organisation covers it, or a `Refusal`."""
        organisation = self.entry.catalogue.get("organisation", work.organisation)
        if organisation is None:
            return Refusal(Reason.FORBIDDEN, self.name, detail="the organisation was deleted")
        tokens = work.prompt_tokens + work.predicted_tokens
        charge = await self.entry.budgets.admit(organisation, tokens)
        if not charge:
            peer = charge.peer or self.entry.settings.daemon.instance
            return attrs.evolve(charge, peer=peer)
        self.charges[work.request_id] = charge
        return work

    async def settle(self, work, outcome):
        """Refund the tokens that were charged but not used."""
        charge = self.charges.pop(work.request_id)
        self.entry.budgets.settle(charge, used_tokens(work, outcome))
        if isinstance(outcome, Refusal) and outcome.reason in NO_CAPACITY:
            self.entry.budgets.fair.record_no_capacity(self.entry.context.now())
        return outcome


def used_tokens(work, outcome):
    """Return the tokens that a request used; the prompt tokens if the outcome is unknown."""
    if isinstance(outcome, Answer):
        return work.prompt_tokens + outcome.count
    return work.prompt_tokens if outcome.outcome is Outcome.UNKNOWN else 0
