import pytest

from persimmonstall.burn import BurnRecorder, BurnState, RequestResult, merge
from persimmonstall.settings import Settings


@pytest.fixture
def recorder():
    return BurnRecorder(Settings())


def rows_of(recorder, now, objective="first_token"):
    return [row for row in recorder.rows(now) if row.objective == objective]


def test_burn_rate_is_bad_share_over_error_budget(recorder):
    for number in range(100):
        late = number % 10 == 0
        recorder.record(RequestResult("o", "short", first_token=1.0 if late else 0.1), number / 10)
    row = rows_of(recorder, 10.0)[0]
    assert row.rates == pytest.approx((2.0, 2.0, 2.0), rel=0.05)
    assert row.state is BurnState.OK


def test_a_short_outage_raises_and_clears_fast_burn(recorder):
    def run(start, seconds, bad):
        for number in range(seconds):
            result = RequestResult("o", "short", in_time=not bad)
            recorder.record(result, start + number)

    run(0, 600, bad=True)
    assert rows_of(recorder, 600, "in_time")[0].state is BurnState.FAST
    run(600, 2400, bad=False)
    assert rows_of(recorder, 3000, "in_time")[0].state is not BurnState.FAST


def test_long_prompts_have_their_own_objective(recorder):
    recorder.record(RequestResult("o", "long", first_token=10.0), 0.0)
    assert rows_of(recorder, 0.0)[0].rates[0] == 0.0


def test_refusals_burn_only_the_served_objective(recorder):
    recorder.record(RequestResult("o", "short", refused=True), 0.0)
    assert {row.objective for row in recorder.rows(0.0)} == {"served"}


def test_rows_of_several_entries_add_up(recorder):
    other = BurnRecorder(Settings())
    recorder.record(RequestResult("o", "short", first_token=0.1), 0.0)
    other.record(RequestResult("o", "short", first_token=9.0), 0.0)
    merged = merge(recorder.rows(0.0) + other.rows(0.0))
    row = next(row for row in merged if row.objective == "first_token")
    assert (row.windows[0].total, row.windows[0].bad) == (2.0, 1.0)


def test_state_is_bounded_by_active_organisations(recorder):
    for number in range(500):
        recorder.record(RequestResult(f"o{number}", "short", first_token=0.1), 0.0)
    recorder.evict(100_000.0)
    assert recorder.counts == {}
