"""What follows an attempt that did not bring the whole answer."""

import enum

import attrs

from ..failures import Failure, Outcome, Reason, refuse

MAX_SENDINGS = 6
"""Endpoints that one call is offered to, whether or not they ran it."""

RETRY_AFTER_BASE = 0.25
"""Seconds after which a refused caller may come back while others are served."""

RETRY_AFTER_SPREAD = 0.5
"""Seconds over which callers that were refused together return."""


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended."""

    WHOLE = "whole"
    ENDPOINT_ERROR = "endpoint_error"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    BROKEN = "broken"
    OVERDUE = "overdue"
    LATE = "late"


@attrs.define
class AttemptHistory:
    """The attempts of one call so far.

    `runs` counts ended attempts that may have run, `underway` says whether one is out whose
    outcome is not known yet.  `last_event` is the last event that the caller has, `first_event_at`
    when it got its first event, None while it has nothing of the answer, `last_event_at` when it
    got its last one, `longest_gap` the longest pause between two.
    """

    attempts: int = 0
    runs: int = 0
    underway: bool = False
    last_event: int = -1
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0
    tried_endpoints: set = attrs.field(factory=set)

    @property
    def may_have_run(self):
        """Whether any attempt may have run at its endpoint."""
        return self.underway or self.runs > 0

    @property
    def response_started(self):
        """Whether the caller has a part of the answer."""
        return self.first_event_at is not None

    def attempt_sent(self):
        """Note that an attempt is about to be sent."""
        self.underway = True

    def attempt_ended(self, endpoint_name, ending):
        """Count one ended attempt; `endpoint_name` is the endpoint that failed it."""
        self.attempts += 1
        self.underway = False
        self.tried_endpoints.add(endpoint_name)
        if ending not in (AttemptOutcome.NOT_RUN, AttemptOutcome.WRONG_ENDPOINT):
            self.runs += 1

    def event_sent(self, number, now):
        """Note that the caller was sent the event `number`."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        self.last_event = number


def may_retry(routed, history, ending):
    """Say whether a call may be sent to another endpoint after an attempt that ended so.

    Work that must not run twice moves on only while it is certain that it has not run.
    """
    if (
        ending in (AttemptOutcome.WHOLE, AttemptOutcome.OVERDUE)
        or history.attempts >= MAX_SENDINGS
    ):
        return False
    if ending in (AttemptOutcome.NOT_RUN, AttemptOutcome.WRONG_ENDPOINT):
        return history.runs < max(1, routed.route.attempts)
    if not routed.route.repeatable or history.runs >= routed.route.attempts:
        return False
    return not history.response_started or routed.route.resumable


def final_refusal(routed, history, failure, now, random):
    """Return the `Refusal` that ends a call whose caller has nothing of an answer yet."""
    if now >= routed.deadline or failure.reason is Reason.DEADLINE:
        outcome = Outcome.UNKNOWN if history.may_have_run else Outcome.NOT_RUN
        return refuse(
            Failure(Reason.DEADLINE, failure.step, failure.peer, failure.detail), outcome=outcome
        )
    if history.may_have_run:
        reason = Reason.ENDPOINT_LOST
        unknown = Failure(reason, failure.step, failure.peer, failure.detail)
        return refuse(unknown, outcome=Outcome.UNKNOWN)
    wait = RETRY_AFTER_BASE + RETRY_AFTER_SPREAD * random.random()
    return refuse(failure, retry_after=wait)
