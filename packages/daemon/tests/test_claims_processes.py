"""No call runs twice and none reported as "not run" runs, with real processes under faults."""

import base64
import itertools
import json
import random
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from persimmonstall_standins.processes import Deployment, Layout

pytestmark = pytest.mark.processes

DEADLINE = 2.0
SLACK = 0.5
"""Seconds for the HTTP round trip on a busy machine, in addition to the deadline."""

NUMBERS = itertools.count()
KILL_SEED = 7
NO_FAULTS = {"down": False, "delay": 0.0, "lose_answers": False, "apply_late": 0.0}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Start two entries and one service that two daemons serve."""
    layout = Layout(entries=2, daemons=2, engines=1, services=1, extra="[links]\nsilence = 1.5")
    made = Deployment(tmp_path_factory.mktemp("claims"), layout)
    start_backends = made.start_backends

    def shared_backends():
        start_backends()
        made.served["d2"].append(f"s1b=service:records@{made.backends['s1']}")

    made.start_backends = shared_backends
    try:
        made.bring_up()
        made.wait_until(lambda: send(made, "entry1", new_key())[0] == 200, "the service")
        yield made
    finally:
        made.stop()


@pytest.fixture
def site(deployment):
    """Return the deployment; remove all faults after each test."""
    yield deployment
    deployment.faults("table", **NO_FAULTS)
    deployment.faults("s1", answer_delay=0.0, silent=False, refuse=False)
    for name in ("d1", "d2"):
        deployment.resume(name)
    for entry in ("entry1", "entry2"):
        deployment.wait_until(lambda e=entry: send(deployment, e, new_key())[0] == 200, entry)


def new_key():
    return f"key-{next(NUMBERS)}"


def send(site, entry, key, deadline=DEADLINE):
    """Call `appoint` with `key` as idempotency key; return the status and the decoded body."""
    began = time.monotonic()
    headers = {"Idempotency-Key": key, "X-Persimmonstall-Deadline": str(deadline)}
    path = "/v1/services/records/appoint"
    status, body = site.post(entry, path, {"person": key}, headers)
    took = time.monotonic() - began
    assert took <= deadline + SLACK, (key, status, body)
    return status, body


def runs(site, key):
    """Return how often the service ran the call according to its log."""
    bodies = [json.loads(base64.b64decode(line["body"])) for line in site.log("s1")]
    return bodies.count({"person": key})


def outcome_of(answer):
    """Return the outcome reported to a caller as a word."""
    status, body = answer
    return "answer" if status == 200 else body["error"]["outcome"]


def check(site, key, *answers):
    """Check the outcomes of one key against the service's log; return the number of runs."""
    count = runs(site, key)
    assert count <= 1
    if any(outcome_of(answer) == "answer" for answer in answers):
        assert count == 1
    if outcome_of(answers[-1]) == "not_run":
        assert count == 0
    return count


def test_resend_through_another_entry_gets_the_stored_answer(site):
    key = new_key()
    first = send(site, "entry1", key)
    site.wait_until(lambda: send(site, "entry2", key)[0] == 200, "the stored answer")
    assert send(site, "entry2", key) == first
    assert check(site, key, first) == 1


def test_both_entries_at_once_run_it_once(site):
    for _ in range(10):
        key = new_key()
        with ThreadPoolExecutor(4) as callers:
            entries = ["entry1", "entry2"] * 2
            answers = list(callers.map(lambda entry, key=key: send(site, entry, key), entries))
        assert check(site, key, *answers) == 1


def test_paused_daemons_never_run_what_was_told_not_run(site):
    key = new_key()
    for name in ("d1", "d2"):
        site.pause(name)
    first = send(site, "entry1", key)
    assert outcome_of(first) == "not_run"
    for name in ("d1", "d2"):
        site.resume(name)
    time.sleep(2 * DEADLINE)
    assert check(site, key, first) == 0
    site.wait_until(lambda: outcome_of(send(site, "entry2", key)) == "answer", "the resend")
    assert runs(site, key) == 1


def test_daemons_paused_between_start_and_hand_over(site):
    key = new_key()
    site.faults("table", delay=0.8)
    with ThreadPoolExecutor(1) as caller:
        asked = caller.submit(send, site, "entry1", key, 3.0)
        time.sleep(1.3)
        for name in ("d1", "d2"):
            site.pause(name)
        first = asked.result()
    site.faults("table", **NO_FAULTS)
    again = send(site, "entry2", key)
    for name in ("d1", "d2"):
        site.resume(name)
    time.sleep(DEADLINE)
    assert outcome_of(first) == outcome_of(again) == "unknown"
    check(site, key, first, again)


def test_daemon_killed_at_any_step(site):
    moments = random.Random(KILL_SEED)
    outcomes = []
    site.faults("table", delay=0.1)
    for number in range(6):
        key, name = new_key(), ("d1", "d2")[number % 2]
        with ThreadPoolExecutor(1) as caller:
            asked = caller.submit(send, site, "entry1", key)
            time.sleep(moments.uniform(0.0, 0.5))
            site.kill(name)
            first = asked.result()
        site.restart(name)
        again = send(site, "entry2", key)
        outcomes.append((outcome_of(first), outcome_of(again), check(site, key, first, again)))
        site.wait_until(lambda: send(site, "entry1", new_key())[0] == 200, "a daemon")
    print(outcomes)


def test_entry_killed_and_the_caller_resends_through_the_other(site):
    key = new_key()
    site.faults("s1", answer_delay=1.0)
    with ThreadPoolExecutor(1) as caller:
        asked = caller.submit(send_unchecked, site, "entry1", key)
        time.sleep(0.5)
        site.kill("entry1")
        asked.result()
    again = send(site, "entry2", key)
    site.restart("entry1")
    site.faults("s1", answer_delay=0.0)
    site.wait_until(lambda: outcome_of(send(site, "entry2", key)) == "answer", "the stored answer")
    assert check(site, key, again) == 1


def send_unchecked(site, entry, key):
    """Send to an entry that is killed during the call, which breaks the connection."""
    try:
        return send(site, entry, key, 10.0)
    except ValueError:
        return 0, None


def test_answer_of_the_table_lost_after_the_write(site):
    key = new_key()
    site.faults("table", lose_answers=True)
    answer = send(site, "entry1", key, 10.0)
    assert outcome_of(answer) == "answer"
    assert check(site, key, answer) == 1


def test_write_applied_long_after_its_time_out(site):
    key = new_key()
    site.faults("table", apply_late=2.0)
    first = send(site, "entry1", key, 4.0)
    site.faults("table", **NO_FAULTS)
    again = send(site, "entry2", key)
    time.sleep(4.0)
    check(site, key, first, again)
    site.wait_until(lambda: outcome_of(send(site, "entry2", key)) == "answer", "the resend")
    assert runs(site, key) == 1


def test_table_down_is_refused_at_once(site):
    key = new_key()
    site.faults("table", down=True)
    began = time.monotonic()
    answer = send(site, "entry1", key, 20.0)
    assert time.monotonic() - began < DEADLINE
    assert outcome_of(answer) == "unknown"
    assert answer[1]["error"]["retry_after"] > 0
    assert check(site, key, answer) == 0


def test_service_answers_late(site):
    key = new_key()
    site.faults("s1", answer_delay=4.0)
    first = send(site, "entry1", key)
    assert outcome_of(first) == "unknown"
    site.faults("s1", answer_delay=0.0)
    assert outcome_of(send(site, "entry2", key)) == "unknown"
    site.wait_until(lambda: outcome_of(send(site, "entry2", key)) == "answer", "the late answer")
    assert check(site, key, first) == 1
