"""Callers' headers and method names of any octets: refused at once, and never run as another."""

import http.client
import itertools
import json
import urllib.parse

import pytest

from persimmonstall_standins.processes import MODEL, Deployment, Layout

pytestmark = pytest.mark.processes

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
