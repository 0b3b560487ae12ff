"""How long a silent endpoint is waited for, and the history that a retry would have."""

import attrs
import pytest

from persimmonstall.direct.failure_scores import SILENT_SCORE, SILENT_SECONDS, FailureScores
from persimmonstall.direct.retry_budget import SharedRetryBudget
from persimmonstall.direct.retrying import AttemptHistory, AttemptOutcome
from persimmonstall.direct.silence import caller_patience, longest_silence, silence_timeouts

from .direct_parts import NON_REPEATABLE, REPEATABLE, SHORT

EARLY_SECONDS = 1.2


@pytest.mark.parametrize(
    ("objective", "gap_objective", "patience"),
    [(0.3, 0.25, 2.0), (1.5, 0.6, 6.0), (0.3, 1.0, 8.0)],
)
def test_callers_wait_for_the_longest_of_three_times(objective, gap_objective, patience):
    route = attrs.evolve(SHORT, objective=objective, gap_objective=gap_objective)
    assert caller_patience(route) == pytest.approx(patience)


@pytest.mark.parametrize("objective", [0.1, 0.3, 0.5, 2.5])
@pytest.mark.parametrize("gap_objective", [0.1, 0.25, 1.0])
def test_sound_endpoint_of_a_stream_may_be_silent_for_longer_but_not_until_callers_leave(
    objective, gap_objective
):
    route = attrs.evolve(SHORT, objective=objective, gap_objective=gap_objective)
    assert 1.6 < longest_silence(route, EARLY_SECONDS) < caller_patience(route)


@pytest.mark.parametrize("timeout", [1.2, 2.4, 5.0])
def test_sound_endpoint_is_not_left_before_a_cut_off_one(timeout):
    assert longest_silence(SHORT, timeout) >= timeout


@pytest.mark.parametrize("route", [REPEATABLE, NON_REPEATABLE])
def test_plain_call_is_moved_at_its_timeout(route):
    assert longest_silence(route, 0.12) == 0.12


def test_what_a_retry_would_have_for_history_leaves_the_present_one_as_it_is():
    history = AttemptHistory()
    history.attempt_sent()
    after = history.after("e0", AttemptOutcome.LATE)
    assert (after.attempts, after.runs, after.tried_endpoints) == (1, 1, {"e0"})
    assert (history.attempts, history.runs, history.tried_endpoints) == (0, 0, set())
    assert history.in_progress


def test_asking_whether_the_budget_has_room_uses_none_of_it():
    budget = SharedRetryBudget(ratio=0.0, slack=2.0, window=10.0)
    assert [budget.has_room("s", 0.0) for _ in range(3)] == [True] * 3
    assert budget.try_acquire("s", 0.0)
    assert not budget.has_room("s", 0.0)


@pytest.mark.parametrize("usual", [0.0, 0.4, 9.0])
def test_endpoint_is_avoided_then_checked_then_left(usual):
    timeouts = silence_timeouts(SHORT, 1.2, 10.0, usual, 0.15)
    assert timeouts.conspicuous <= timeouts.check < timeouts.leave < timeouts.end
    assert timeouts.check + 0.15 == pytest.approx(1.2)


def test_plain_call_is_neither_checked_nor_left_before_its_timeout():
    timeouts = silence_timeouts(REPEATABLE, 0.12, 10.0, 0.0, 0.15)
    assert timeouts.conspicuous == timeouts.check == timeouts.leave == 0.12


def test_silent_endpoint_is_avoided_until_it_goes_on():
    scores = FailureScores()
    scores.record_silence("e", 0.0)
    assert scores.score("e", 0.5) == SILENT_SCORE
    scores.record_sign_of_life("e")
    assert scores.score("e", 0.5) == 0.0


def test_silent_endpoint_is_tried_again_a_second_after_the_last_wait():
    scores = FailureScores()
    scores.record_silence("e", 0.0)
    assert scores.score("e", SILENT_SECONDS) == 0.0
    assert not scores.local_state(0.0)
