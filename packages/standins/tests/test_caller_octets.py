"""Callers' headers and method names of any octets: refused at once, and never run as another."""

import http.client
import itertools
import json
import time
import urllib.parse

import pytest

from persimmonstall_standins.processes import MODEL, Deployment, Layout

pytestmark = pytest.mark.processes

AT_ONCE_SECONDS = 1.0
"""The answer comes without a try at an endpoint, which would last until its link is lost."""

SERVICE = "/v1/services/records/"
COMPLETION = "/v1/completions"
NUMBERS = itertools.count()


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    layout = Layout(daemons=2, engines=1, services=1, speed=4.0)
    made = Deployment(tmp_path_factory.mktemp("octets"), layout)
    try:
        made.bring_up()
        made.wait_until(lambda: send(made, f"{SERVICE}appoint")[0] == 200, "the service")
        yield made
    finally:
        made.stop()


def send(deployment, path, **headers):
    """Send a call, with "_" for "-" in the names of headers; return status and decoded body."""
    address = urllib.parse.urlparse(deployment.http["entry1"]).netloc
    body = {"model": MODEL, "prompt": "a", "max_tokens": 1, "number": next(NUMBERS)}
    pairs = {
        "Authorization": f"Bearer {deployment.caller_key}",
        "Content-Type": "application/json",
        "X-Persimmonstall-Idempotent": "no",
        "Idempotency-Key": f"key-{body['number']}",
    }
    pairs |= {name.replace("_", "-"): value for name, value in headers.items()}
    connection = http.client.HTTPConnection(address, timeout=30.0)
    try:
        connection.request("POST", path, json.dumps(body).encode(), pairs)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    finally:
        connection.close()


@pytest.mark.parametrize("path", [f"{SERVICE}appoint", COMPLETION])
@pytest.mark.parametrize(
    ("name", "value", "status"),
    [
        ("Authorization", b"Bearer \xe9", 401),
        ("Idempotency_Key", b"k\xe9", 400),
        ("Idempotency_Key", b"k\xa0", 400),
        ("Content_Type", b"text/\xe9", 400),
        ("Content_Type", b'text/plain; charset="\xff"', 400),
    ],
)
def test_header_that_is_not_utf8_is_refused_as_not_run(deployment, path, name, value, status):
    if path == COMPLETION and name == "Content_Type":
        status = 200
    ran = len(deployment.log("s1"))
    started_at = time.monotonic()
    got, answer = send(deployment, path, **{name: value})
    assert time.monotonic() - started_at < AT_ONCE_SECONDS
    assert got == status, answer
    if got != 200:
        assert answer["error"]["outcome"] == "not_run"
    assert len(deployment.log("s1")) == ran


@pytest.mark.parametrize("method", ["a%0d%0ab", "a%00b", "a%7fb", ".", "..", "%2e%2e", "r%FF"])
def test_method_that_cannot_be_sent_is_not_run_as_another(deployment, method):
    ran = len(deployment.log("s1"))
    status, answer = send(deployment, SERVICE + method)
    assert status in (400, 404), answer
    assert answer["error"]["outcome"] == "not_run"
    assert len(deployment.log("s1")) == ran


@pytest.mark.parametrize("method", ["a b", "é", "a?b", "a#b", "a%b", "a&b=c", "%2e", "a;b", "a+b"])
def test_method_runs_under_its_own_name(deployment, method):
    status, answer = send(deployment, SERVICE + urllib.parse.quote(method, safe=""))
    assert (status, answer) == (200, {"method": method, "run": answer.get("run")})
