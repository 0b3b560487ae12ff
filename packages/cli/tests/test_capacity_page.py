import importlib
import pathlib
import sys

import orjson
import pytest

ROOT = pathlib.Path(__file__).resolve().parents[3]


@pytest.fixture
def runs(monkeypatch):
    monkeypatch.syspath_prepend(str(ROOT / "tools"))
    yield lambda name: importlib.import_module(f"capacity_runs.{name}")
    for name in [name for name in sys.modules if name.startswith("capacity_runs")]:
        del sys.modules[name]


def test_a_line_is_fitted_with_its_residual(runs):
    line = runs("fit").fit("a", "run", "KB", "link", [(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)])
    assert line.slope == pytest.approx(2.0)
    assert line.value_at(10) == pytest.approx(21.0)
    assert line.residual == pytest.approx(0.0, abs=1e-9)


def test_fewer_than_four_points_are_refused(runs):
    with pytest.raises(ValueError, match="four points"):
        runs("fit").fit("a", "run", "KB", "link", [(1, 3.0), (2, 5.0), (3, 7.0)])


def test_the_page_is_what_template_and_measurements_give(runs):
    docs = ROOT / "docs"
    data = orjson.loads((docs / "capacity.json").read_bytes())
    template = (docs / "templates" / "CAPACITY.md").read_text(encoding="utf-8")
    page = runs("page").build(template, data)
    assert page == (docs / "CAPACITY.md").read_text(encoding="utf-8")
