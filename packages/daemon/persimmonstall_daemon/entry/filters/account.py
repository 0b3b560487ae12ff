"""Counts requests and their outcomes for the burn rates and the metrics."""

from persimmonstall.burn import RequestResult
from persimmonstall.failures import Outcome, Reason

from ..filter import Filter
from ..request import Answer

PLAIN_SERVICE = "service"
"""Length class under which calls of plain services are counted."""

UNCOUNTED = frozenset((Reason.CANCELLED, Reason.QUARANTINED, Reason.KEY_CONFLICT))
"""Reasons caused by the caller, which count against no objective."""


class Account(Filter):
    """Records admitted requests and their outcomes in the metrics and the burn counts."""

    name = "account"

    def __init__(self, entry):
        self.entry = entry

    async def admit(self, work):
        """Count an admitted request."""
        self.entry.metrics.count("requests", tag=length_class_of(work))
        return work

    async def settle(self, work, outcome):
        """Count the outcome of a request."""
        if isinstance(outcome, Answer):
            self.count_answer(work, outcome)
        else:
            self.count_refusal(outcome)
        result = result_of(work, outcome)
        if result:
            self.entry.burn.record(result, self.entry.context.now())
        return outcome

    def count_answer(self, work, answer):
        """Count an answer in the metrics."""
        metrics = self.entry.metrics
        metrics.count("answers", tag=length_class_of(work))
        metrics.count("tokens_relayed", answer.count)
        if answer.first_token_at:
            metrics.timing(
                "first_token", answer.first_token_at - work.arrived, tag=length_class_of(work)
            )
        token_gap = between_tokens(answer)
        if token_gap is not None:
            metrics.timing("between_tokens", token_gap)

    def count_refusal(self, refusal):
        """Count a refusal in the metrics."""
        self.entry.metrics.count("refusals", tag=str(refusal.reason))
        self.entry.metrics.count("refusals_by_step", tag=refusal.step)


def length_class_of(work):
    """Return the length class under which a request is counted."""
    return work.length_class or PLAIN_SERVICE


def between_tokens(answer):
    """Return the mean time between tokens in seconds, or None for fewer than two tokens."""
    if answer.count < 2 or not answer.first_token_at:
        return None
    return (answer.ended_at - answer.first_token_at) / (answer.count - 1)


def result_of(work, outcome):
    """Return the `RequestResult` of an outcome, or None if it counts against no objective."""
    name = length_class_of(work)
    if isinstance(outcome, Answer):
        first = outcome.first_token_at - work.arrived if outcome.first_token_at else None
        in_time = outcome.ended_at <= work.deadline
        return RequestResult(work.organisation, name, first, between_tokens(outcome), in_time)
    if outcome.reason in UNCOUNTED:
        return None
    if outcome.outcome is Outcome.NOT_RUN and outcome.reason is not Reason.DEADLINE:
        return RequestResult(work.organisation, name, refused=True)
    return RequestResult(work.organisation, name, in_time=False)
