"""Holds organisations to their limits, shared with the other entries."""

import attrs

from persimmonstall.failures import Outcome, Reason, Refusal

from ..filter import Filter
from ..request import Answer

NO_ROOM = frozenset(
    (Reason.BUSY, Reason.OVERLOADED, Reason.NO_ENDPOINT, Reason.TOO_LATE, Reason.NO_MEMORY)
)
"""Reasons that say that no endpoint had room."""


class Limits(Filter):
    """Charges a request's predicted tokens and settles on what it really used."""

    name = "limits"

    def __init__(self, entry):
        self.entry = entry
        self.charges = {}

    async def admit(self, work):
        """Return the work once its organisation's budget covers it, or a `Refusal`."""
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
        """Give back what was charged and not used."""
        charge = self.charges.pop(work.request_id)
        self.entry.budgets.settle(charge, used_tokens(work, outcome))
        if isinstance(outcome, Refusal) and outcome.reason in NO_ROOM:
            self.entry.budgets.fair.record_no_capacity(self.entry.context.now())
        return outcome


def used_tokens(work, outcome):
    """Return the tokens that a request used; its prompt where that is not known."""
    if isinstance(outcome, Answer):
        return work.prompt_tokens + outcome.count
    return work.prompt_tokens if outcome.outcome is Outcome.UNKNOWN else 0
