"""The way of a request: each filter in order, then dispatch, then settling in reverse."""

import asyncio

import attrs

from persimmonstall.failures import Failure, Outcome, Reason, Refusal

from .filters.account import Account
from .filters.authenticate import Authenticate
from .filters.classify import Classify
from .filters.limits import Limits
from .filters.predict import Predict
from .request import Answer


def make_filters(entry):
    """Return the filters of a request in the order they run; `entry` is the entry daemon."""
    return (
        Authenticate(entry),
        Classify(entry),
        entry.suspects,
        Predict(entry),
        Limits(entry),
        Account(entry),
        entry.claims,
    )


@attrs.define
class Pipeline:
    """Runs requests through `filters` and then through `dispatch`."""

    filters: tuple
    dispatch: object

    async def serve(self, request, sink):
        """Return the `Answer` or the `Refusal` of one request."""
        passed = []
        try:
            for step in self.filters:
                result = await step.admit(request)
                if isinstance(result, Failure | Answer):
                    return await self.settle(passed, result)
                passed.append((step, result))
                request = result
            outcome = await self.dispatch.run(request, sink)
        except asyncio.CancelledError:
            gone = Refusal(Reason.CANCELLED, "caller", outcome=Outcome.UNKNOWN)
            await asyncio.shield(self.settle(passed, gone))
            raise
        return await self.settle(passed, outcome)

    async def settle(self, passed, outcome):
        """Settle the filters that were passed, last one first."""
        for step, admitted in reversed(passed):
            outcome = await step.settle(admitted, outcome)
        return outcome
