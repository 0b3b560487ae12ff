import json
import os
from types import SimpleNamespace

import pytest
import structlog

from persimmonstall.direct.loads import LoadTracker
from persimmonstall.direct.messages import Endpoint, Service
from persimmonstall.settings.schema import Settings
from persimmonstall_daemon.direct.loads import LoadReporter
from persimmonstall_daemon.observe import bounded_stream, logs
from persimmonstall_daemon.observe.bounded_stream import BoundedStream
from persimmonstall_daemon.observe.prometheus import PrometheusMetrics
from persimmonstall_standins.engine_profile import ENGINE_PROFILE


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def configure_logs():
    """Return `logs.configure`; its effect ends with the test."""
    yield logs.configure
    structlog.reset_defaults()


def test_log_volume_is_bounded(pipe):
    reader, writer = pipe
    now = [0.0]
    stream = BoundedStream(writer, lambda: now[0])
    for _ in range(int(bounded_stream.BURST_LINES) + 10):
        stream.write("x\n")
    assert stream.dropped == 10
    now[0] = 1.0
    stream.write("y\n")
    assert stream.dropped == 10
    assert os.read(reader, 1 << 16).endswith(b"y\n")


def test_log_never_waits_for_its_reader(pipe):
    _, writer = pipe
    stream = BoundedStream(writer)
    for _ in range(30):
        stream.write("x" * 10_000 + "\n")
    assert stream.dropped > 0


def test_log_lines_are_json_on_the_stream(pipe, configure_logs):
    reader, writer = pipe
    configure_logs(Settings(), BoundedStream(writer))
    logs.get("test").info("placed", request_id="r1")
    line = json.loads(os.read(reader, 4096))
    assert (line["event"], line["request_id"], line["module"]) == ("placed", "r1", "test")


def test_metrics_are_text_with_histograms():
    metrics = PrometheusMetrics()
    metrics.count("direct_calls")
    metrics.count("direct_refusals", tag="busy")
    metrics.timing("direct_answer", 0.25)
    text = metrics.text().decode()
    assert "persimmonstall_direct_calls_total 1.0" in text
    assert 'persimmonstall_direct_refusals_total{tag="busy"} 1.0' in text
    assert 'persimmonstall_direct_answer_seconds_bucket{le="0.3"} 1.0' in text


def test_unlisted_metric_raises():
    with pytest.raises(KeyError):
        PrometheusMetrics().count("no_such_name")
    with pytest.raises(KeyError):
        PrometheusMetrics().count("direct_refusals")


def test_histogram_counts_each_duration_once_and_adds_them_up():
    metrics = PrometheusMetrics()
    for seconds in (0.005, 0.3, 99.0):
        metrics.timing("direct_answer", seconds)
    text = metrics.text().decode()
    assert 'persimmonstall_direct_answer_seconds_bucket{le="0.005"} 1.0' in text
    assert 'persimmonstall_direct_answer_seconds_bucket{le="0.3"} 2.0' in text
    assert 'persimmonstall_direct_answer_seconds_bucket{le="+Inf"} 3.0' in text
    assert "persimmonstall_direct_answer_seconds_count 3.0" in text
    assert "persimmonstall_direct_answer_seconds_sum 99.305" in text


def test_gauge_keeps_its_last_value():
    metrics = PrometheusMetrics()
    metrics.gauge("direct_peers", 7)
    metrics.gauge("direct_peers", 3)
    assert "persimmonstall_direct_peers 3.0" in metrics.text().decode()


def test_slow_engine_is_logged_once():
    load_tracker = LoadTracker()
    service = Service("llm", engine=ENGINE_PROFILE)
    load_tracker.load_of(Endpoint("e", "llm", "10.0.0.1:80"), service, 0.0)
    loads = LoadReporter(
        SimpleNamespace(state=SimpleNamespace(load_tracker=load_tracker), now=lambda: 0.0), None
    )
    usual = load_tracker.loads["e"].expected_gap()
    with structlog.testing.capture_logs() as lines:
        for _ in range(6):
            loads.record_gap("e", 5 * usual, 1)
    assert [(line["event"], line["endpoint"], line["pace"]) for line in lines] == [
        ("pace_changed", "e", 5.0)
    ]
