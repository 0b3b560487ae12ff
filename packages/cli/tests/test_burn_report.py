import orjson
import pytest

from persimmonstall.burn import BurnRecorder, RequestResult, merge
from persimmonstall.settings import Settings
from persimmonstall_cli.burn.page import burn_page
from persimmonstall_cli.burn.table import burn_report
from persimmonstall_cli.report import format_json, format_text


@pytest.fixture
def rows():
    recorder = BurnRecorder(Settings())
    for number in range(40):
        recorder.record(RequestResult("a<b", "short", first_token=0.1 * (number % 10)), 0.0)
    return merge(recorder.rows(0.0))


def test_table_and_json_show_the_burn_rate(rows):
    report = burn_report(rows)
    assert "burn 5 min" in format_text(report)
    data = orjson.loads(format_json(report))
    first = next(row for row in data if row["objective"] == "first_token")
    assert first["windows"][0]["burn"] == pytest.approx(10.0)


def test_the_page_is_self_contained_and_escaped(rows):
    page = burn_page(rows, "Burn")
    assert page.count("<svg") == 3
    assert "a<b" not in page.split("<h2>All rows</h2>")[1]
    assert "src=" not in page and "<script" not in page and "<link" not in page


def test_a_page_without_requests_has_no_plots():
    assert "<svg" not in burn_page([], "Burn")
