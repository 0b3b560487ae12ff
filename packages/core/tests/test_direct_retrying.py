"""What follows an attempt that did not bring the whole answer."""

import random

import attrs
import pytest

from persimmonstall.direct.retrying import AttemptHistory, AttemptOutcome, final_refusal, may_retry
from persimmonstall.failures import Failure, Outcome, Reason

from .direct_parts import FILING, READING, SHORT, routed


@pytest.mark.parametrize(
    ("route", "ending", "repeated"),
    [
        (SHORT, AttemptOutcome.BROKEN, True),
        (SHORT, AttemptOutcome.LATE, True),
        (SHORT, AttemptOutcome.NOT_RUN, True),
        (READING, AttemptOutcome.ENDPOINT_ERROR, True),
        (READING, AttemptOutcome.BROKEN, True),
        (FILING, AttemptOutcome.BROKEN, False),
        (FILING, AttemptOutcome.ENDPOINT_ERROR, False),
        (FILING, AttemptOutcome.LATE, False),
        (FILING, AttemptOutcome.NOT_RUN, True),
        (FILING, AttemptOutcome.WRONG_ENDPOINT, True),
        (attrs.evolve(SHORT, resumable=False), AttemptOutcome.BROKEN, False),
        (SHORT, AttemptOutcome.WHOLE, False),
        (SHORT, AttemptOutcome.OVERDUE, False),
    ],
)
def test_what_is_sent_to_a_second_endpoint(route, ending, repeated):
    history = AttemptHistory()
    history.attempt_ended("e0", ending)
    assert may_retry(routed(route), history, ending) is repeated


def test_call_runs_on_no_more_endpoints_than_its_route_allows():
    history = AttemptHistory()
    history.attempt_ended("e0", AttemptOutcome.BROKEN)
    history.attempt_ended("e1", AttemptOutcome.BROKEN)
    assert not may_retry(routed(SHORT), history, AttemptOutcome.BROKEN)


def test_call_that_may_have_run_is_not_said_to_be_not_run():
    history = AttemptHistory()
    history.attempt_ended("e0", AttemptOutcome.BROKEN)
    failure = Failure(Reason.BUSY, "send")
    refusal = final_refusal(routed(), history, failure, 0.1, random.Random(1))
    assert refusal.outcome is Outcome.UNKNOWN
    assert refusal.retry_after is None


def test_call_that_did_not_run_is_told_when_to_come_back():
    history = AttemptHistory()
    history.attempt_ended("e0", AttemptOutcome.NOT_RUN)
    failure = Failure(Reason.BUSY, "send")
    refusal = final_refusal(routed(), history, failure, 0.1, random.Random(1))
    assert refusal.outcome is Outcome.NOT_RUN
    assert 0.0 < refusal.retry_after < 1.0


@pytest.mark.parametrize("now", [0.1, 20.0])
def test_call_whose_attempt_is_still_out_is_not_said_to_be_not_run(now):
    history = AttemptHistory()
    history.attempt_sent()
    failure = Failure(Reason.DEADLINE, "exchange")
    refusal = final_refusal(routed(), history, failure, now, random.Random(1))
    assert refusal.outcome is Outcome.UNKNOWN
    assert refusal.retry_after is None


def test_call_that_passed_its_deadline_before_it_was_sent_has_not_run():
    failure = Failure(Reason.DEADLINE, "exchange")
    refusal = final_refusal(routed(), AttemptHistory(), failure, 20.0, random.Random(1))
    assert refusal.outcome is Outcome.NOT_RUN


def test_call_whose_timer_fires_a_moment_early_has_still_passed_its_deadline():
    history = AttemptHistory()
    history.attempt_sent()
    failure = Failure(Reason.DEADLINE, "exchange")
    refusal = final_refusal(routed(), history, failure, 9.9995, random.Random(1))
    assert (refusal.reason, refusal.outcome) == (Reason.DEADLINE, Outcome.UNKNOWN)
