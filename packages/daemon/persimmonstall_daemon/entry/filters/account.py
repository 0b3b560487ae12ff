"""Counts what became of each request within its organisation's limits, for burn and metrics."""

from persimmonstall.burn import RequestResult
from persimmonstall.failures import Outcome, Reason

from ..filter import Filter
from ..request import Answer

PLAIN_SERVICE = "service"
"""Length class under which calls of plain services are counted."""

UNCOUNTED = frozenset((Reason.CANCELLED, Reason.QUARANTINED, Reason.KEY_CONFLICT))
"""Reasons that lie with the caller and burn no objective."""


class Account(Filter):
    """Records requests in the burn counts and the metrics when they end."""

    name = "account"

    def __init__(self, entry):
        self.entry = entry

    async def admit(self, work):
        """Count the request."""
        self.entry.metrics.count("requests", tag=class_of(work))
        return work

    async def settle(self, work, outcome):
        """Count its end."""
        if isinstance(outcome, Answer):
            self.count_answer(work, outcome)
        else:
            self.count_refusal(outcome)
        served = served_of(work, outcome)
        if served:
            self.entry.burn.record(served, self.entry.context.now())
        return outcome

    def count_answer(self, work, answer):
        """Count a whole answer in the metrics."""
        metrics = self.entry.metrics
        metrics.count("answers", tag=class_of(work))
        metrics.count("tokens_relayed", answer.count)
        if answer.first_token_at:
            metrics.timing("first_token", answer.first_token_at - work.arrived, tag=class_of(work))
        pace = between_tokens(answer)
        if pace is not None:
            metrics.timing("between_tokens", pace)

    def count_refusal(self, refusal):
        """Count a refusal in the metrics."""
        self.entry.metrics.count("refusals", tag=str(refusal.reason))
        self.entry.metrics.count("refusals_by_step", tag=refusal.step)


def class_of(work):
    """Return the length class that a request is counted under."""
    return work.length_class or PLAIN_SERVICE


def between_tokens(answer):
    """Return the mean time between tokens in seconds, None for fewer than two."""
    if answer.count < 2 or not answer.first_token_at:
        return None
    return (answer.ended_at - answer.first_token_at) / (answer.count - 1)


def served_of(work, outcome):
    """Return the `RequestResult` that an outcome counts as, None if it burns nothing."""
    name = class_of(work)
    if isinstance(outcome, Answer):
        first = outcome.first_token_at - work.arrived if outcome.first_token_at else None
        in_time = outcome.ended_at <= work.deadline
        return RequestResult(work.organisation, name, first, between_tokens(outcome), in_time)
    if outcome.reason in UNCOUNTED:
        return None
    if outcome.outcome is Outcome.NOT_RUN and outcome.reason is not Reason.DEADLINE:
        return RequestResult(work.organisation, name, refused=True)
    return RequestResult(work.organisation, name, in_time=False)
