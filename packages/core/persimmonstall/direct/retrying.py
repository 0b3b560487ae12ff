"""Decides what follows an attempt without a complete answer: a retry or a refusal."""

import enum

import attrs

from ..failures import Failure, Outcome, Postponed, Reason, refuse

MAX_ATTEMPTS = 6
"""Maximum number of attempts of one call, whether or not the endpoints ran it."""

RETRY_AFTER_BASE = 0.25
"""Minimum `Retry-After` of a refusal, in seconds; it leaves time to serve other calls first."""

RETRY_AFTER_SPREAD = 0.5
"""Time in seconds over which the retries of callers that were refused together are spread."""


LEAVING_RETRY_AFTER = 0.05
"""`Retry-After` of an entry that is stopping, in seconds; a retry goes to another entry."""


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.

    `NOT_RUN`: the call has certainly not run.  `WRONG_ENDPOINT`: another endpoint or lifetime has
    the address.  `BROKEN`: the connection was lost or the answer is invalid.  `LATE`: the attempt
    timed out before the deadline of the call.  `OVERDUE`: the deadline of the call passed,
    the entry exits, or there was no endpoint for another attempt.
    """

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

    `attempts` counts ended attempts, `runs` those of them that may have run; `in_progress` says
    whether there is an attempt whose outcome is not known yet.  `last_event` is the id of the last
    event sent to the caller; `first_event_at` and `last_event_at` are the times of its first and
    last events, None before the first; `longest_gap` is the longest time between two events.
    `unreached_endpoints` are tried ones that did not get the call, since connecting took too long.
    `trial` says that the call is sent, though its content is blocked, to see whether it crashes.
    """

    attempts: int = 0
    runs: int = 0
    in_progress: bool = False
    last_event: int = -1
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0
    tried_endpoints: set = attrs.field(factory=set)
    unreached_endpoints: set = attrs.field(factory=set)
    trial: bool = False

    @property
    def may_have_run(self):
        """Whether any attempt may have run at its endpoint."""
        return self.in_progress or self.runs > 0

    @property
    def response_started(self):
        """Whether the caller was sent a part of the answer."""
        return self.first_event_at is not None

    def attempt_sent(self):
        """Record that an attempt is about to be sent."""
        self.in_progress = True

    def attempt_ended(self, endpoint_name, ending):
        """Record the end of an attempt; `endpoint_name` is the endpoint responsible for it."""
        self.attempts += 1
        self.in_progress = False
        self.tried_endpoints.add(endpoint_name)
        if ending not in (AttemptOutcome.NOT_RUN, AttemptOutcome.WRONG_ENDPOINT):
            self.runs += 1

    def try_unreached_again(self):
        """Let endpoints that did not get the call be tried again; return whether there are any."""
        unreached, self.unreached_endpoints = self.unreached_endpoints, set()
        self.tried_endpoints -= unreached
        return bool(unreached)

    def after(self, endpoint_name, ending):
        """Return a copy in which the attempt in progress has ended."""
        later = attrs.evolve(
            self,
            tried_endpoints=set(self.tried_endpoints),
            unreached_endpoints=set(self.unreached_endpoints),
        )
        later.attempt_ended(endpoint_name, ending)
        return later

    def event_sent(self, number, now):
        """Record that the event `number` is sent to the caller."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        self.last_event = number


def is_last_run(routed, history):
    """Return whether no other endpoint may run a call after the attempt in progress."""
    return history.runs + 1 >= routed.route.attempts


def may_retry(routed, history, ending):
    """Return whether a call may be sent to another endpoint after an attempt with this ending.

    A call that must not run twice is retried only if it is certain that it has not run.
    """
    if (
        ending in (AttemptOutcome.WHOLE, AttemptOutcome.OVERDUE)
        or history.attempts >= MAX_ATTEMPTS
    ):
        return False
    if ending in (AttemptOutcome.NOT_RUN, AttemptOutcome.WRONG_ENDPOINT):
        return history.runs < max(1, routed.route.attempts)
    if not routed.route.repeatable or history.runs >= routed.route.attempts:
        return False
    return not history.response_started or routed.route.resumable


def final_refusal(routed, history, failure, now, random):
    """Return the `Refusal` of a call whose caller has received no part of an answer."""
    outcome = Outcome.UNKNOWN if history.may_have_run else Outcome.NOT_RUN
    if now >= routed.deadline or failure.reason is Reason.DEADLINE:
        return refuse(
            Failure(Reason.DEADLINE, failure.step, failure.peer, failure.detail), outcome=outcome
        )
    if failure.reason is Reason.LEAVING:
        return refuse(failure, LEAVING_RETRY_AFTER, outcome)
    if history.may_have_run:
        reason = Reason.ENDPOINT_LOST
        unknown = Failure(reason, failure.step, failure.peer, failure.detail)
        return refuse(unknown, outcome=Outcome.UNKNOWN)
    wait = RETRY_AFTER_BASE + RETRY_AFTER_SPREAD * random.random()
    if isinstance(failure, Postponed):
        wait += failure.delay
    return refuse(failure, retry_after=wait)
