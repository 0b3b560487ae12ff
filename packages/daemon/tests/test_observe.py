import io
import json
import pathlib
import re
import socket

import pytest

from persimmonstall.settings import Settings
from persimmonstall_daemon.observe import logs, metric_names
from persimmonstall_daemon.observe.metrics import Metrics

PACKAGE = pathlib.Path(metric_names.__file__).resolve().parents[1]
METRIC_CALL = re.compile(r"metrics\.(count|gauge|timing)\(\s*\"(\w+)\"([^\n]*)")
PAGE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "reference" / "metrics.md"


@pytest.fixture
def settings():
    made = Settings()
    made.daemon.instance = "e1"
    return made


def test_log_line_is_json_with_its_context(settings):
    stream = io.StringIO()
    logs.configure(settings, stream)
    with logs.bind_context(request_id="r1", organisation="o", attempt=2, step="relay", peer="d1"):
        logs.get("x").info("relayed", tokens=3)
    line = json.loads(stream.getvalue())
    assert (line["event"], line["request_id"], line["instance"]) == ("relayed", "r1", "e1")
    with pytest.raises(TypeError), logs.bind_context(reqest="r1"):
        pass


def test_metrics_reach_a_statsd_server(settings):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        settings.observe.statsd = f"127.0.0.1:{server.getsockname()[1]}"
        metrics = Metrics(settings)
        metrics.count("requests", tag="short")
        metrics.count("requests", tag="short")
        metrics.timing("between_tokens", 0.05)
        metrics.flush()
        lines = server.recv(2000).decode().splitlines()
    assert "persimmonstall.entry.requests.short:2|c" in lines
    assert "persimmonstall.entry.between_tokens:50.000000|ms" in lines


def test_metrics_without_a_server_only_count(settings):
    metrics = Metrics(settings)
    metrics.violation("ledger_balanced")
    metrics.flush()
    assert metrics.totals == {"invariant_violations.ledger_balanced": 1}
    with pytest.raises(KeyError):
        metrics.count("requests_of_acme")


def test_reference_page_matches_the_table():
    assert PAGE.read_text(encoding="utf-8") == metric_names.page()


def test_every_recorded_metric_is_in_the_table():
    kinds = {"count": "counter", "gauge": "gauge", "timing": "timer"}
    wrong = []
    for source in PACKAGE.rglob("*.py"):
        for method, name, rest in METRIC_CALL.findall(source.read_text(encoding="utf-8")):
            metric = metric_names.METRICS_BY_NAME.get(name)
            if (
                metric is None
                or metric.kind != kinds[method]
                or bool(metric.tags) != ("tag=" in rest)
            ):
                wrong.append((source.name, method, name))
    assert wrong == []
