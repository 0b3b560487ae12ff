"""Retry budget, delays and prediction of output use."""

import itertools
from random import Random

from persimmonstall.failures import Reason
from persimmonstall.placement.prediction import DEFAULT_OUTPUT_TOKENS, OutputLengthPredictor
from persimmonstall.retries.budget import RetryBudget
from persimmonstall.retries.delays import retry_delay


def retries_made(budget, requests_per_second, seconds, failed):
    """Return the times at which `failed` attempts that fail together are retried."""
    for number in range(int(requests_per_second * seconds)):
        budget.record_request(number / requests_per_second)
    return [seconds + budget.take(seconds) for _ in range(failed)]


def test_failure_of_many_endpoints_does_not_cause_a_retry_storm():
    times = retries_made(RetryBudget(0.1), 100.0, 60.0, 1_000)
    at_once = [at for at in times if at == 60.0]
    assert 500 <= len(at_once) <= 610
    delayed = sorted(at for at in times if at > 60.0)
    assert all(b - a >= 0.09 for a, b in itertools.pairwise(delayed))


def test_without_a_share_hardly_anything_is_retried_at_once():
    times = retries_made(RetryBudget(0.0), 100.0, 60.0, 1_000)
    assert len([at for at in times if at == 60.0]) == 10


def test_retry_that_comes_too_late_is_given_up_at_once_and_costs_nothing():
    budget = RetryBudget(0.1)
    for _ in range(10):
        assert retry_delay(Reason.ENDPOINT_LOST, 1, 10.0, budget, 0.0, Random(1)) is not None
    balance = budget.balance
    assert retry_delay(Reason.ENDPOINT_LOST, 1, 0.5, budget, 0.0, Random(1)) is None
    assert budget.balance == balance


def test_cheap_refusals_are_not_charged_to_the_budget():
    budget = RetryBudget(0.1)
    for _ in range(50):
        assert retry_delay(Reason.BUSY, 1, 10.0, budget, 0.0, Random(1)) == 0.0
    assert budget.taken == 0


def test_final_failures_are_not_retried():
    for reason in (Reason.QUARANTINED, Reason.DEADLINE, Reason.AMBIGUOUS, Reason.KEY_CONFLICT):
        assert retry_delay(reason, 1, 10.0, RetryBudget(0.1), 0.0, Random(1)) is None


def test_prediction_falls_back_from_pair_to_model_to_default():
    predictor = OutputLengthPredictor()
    assert predictor.predict("new", "m", 8_000) == DEFAULT_OUTPUT_TOKENS
    for _ in range(100):
        predictor.observe("known", "m", 900)
    assert 900 <= predictor.predict("known", "m", 8_000) < 1_200
    assert 900 <= predictor.predict("new", "m", 8_000) < 1_200
    assert predictor.predict("known", "m", 100) == 100


def test_prediction_follows_a_change_and_stays_bounded():
    predictor = OutputLengthPredictor(max_pairs=10)
    for _ in range(2_000):
        predictor.observe("o", "m", 2_000)
    for _ in range(2_000):
        predictor.observe("o", "m", 50)
    assert predictor.predict("o", "m", 8_000) < 100
    for number in range(50):
        predictor.observe(f"o{number}", "m", 10)
    assert len(predictor.pairs) == 10
