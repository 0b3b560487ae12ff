"""End-to-end tests with separate processes and the OpenAI client library."""

import socket
import time

import openai
import pytest

from persimmonstall_standins.processes import MODEL, Deployment, Layout, fetch

pytestmark = pytest.mark.processes
MAX_FREE_SECONDS = 15.0


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    made = Deployment(tmp_path_factory.mktemp("up"), Layout(daemons=2, engines=1, speed=4.0))
    try:
        made.bring_up()
        yield made
    finally:
        made.stop()


@pytest.fixture
def client(deployment):
    url = deployment.http["entry1"] + "/v1"
    with openai.OpenAI(base_url=url, api_key=deployment.caller_key, max_retries=0) as made:
        yield made


def messages(words):
    return [{"role": "user", "content": "summarise " * words}]


def memory(deployment):
    """Return the memory in tokens that the engines report as held by jobs."""
    return sum(deployment.engine_memory(name) for name in ("e1", "e2"))


def test_client_library_streams_a_whole_answer(client):
    request = {"model": MODEL, "messages": messages(200), "max_tokens": 50}
    whole = client.chat.completions.create(**request)
    stream = client.chat.completions.create(
        **request, stream=True, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert text == whole.choices[0].message.content
    assert chunks[-1].usage.completion_tokens == whole.usage.completion_tokens == 50
    assert whole.choices[0].finish_reason == "length"


def test_client_library_lists_models_and_reads_errors(client, deployment):
    assert [model.id for model in client.models.list()] == [MODEL]
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="nothing", messages=messages(1))
    assert caught.value.code == "unknown_model"
    assert caught.value.body["outcome"] == "not_run"
    with pytest.raises(openai.AuthenticationError):
        openai.OpenAI(base_url=client.base_url, api_key="wrong").models.list()


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "bad_request"),
        (b'{"model": "m"}', 400, "bad_request"),
        (b'{"model": "m", "messages": "hello"}', 400, "bad_request"),
        (b'{"model": "m", "messages": [], "max_tokens": 3}', 400, "bad_request"),
        (b'{"model": "m", "messages": [{"role": "user", "content": 5}]}', 400, "bad_request"),
        (b'{"model": "m", "messages": [{"role": "user", "content": "a"}], "n": 2}', 400, ""),
        (b"x" * 17_000_000, 413, "body_too_large"),
    ],
)
def test_bad_input_gets_a_clear_error(deployment, body, status, code):
    headers = {"Authorization": f"Bearer {deployment.caller_key}"}
    url = deployment.http["entry1"] + "/v1/chat/completions"
    got, answer = fetch(url, body, headers)
    assert got == status
    assert code.encode() in answer
    assert b"Traceback" not in answer


def test_prompt_longer_than_the_model_is_refused(deployment):
    body = {"model": MODEL, "prompt": "word" * 1_200_000}
    status, answer = deployment.post_completion("entry1", body)
    assert status == 400
    assert answer["error"]["code"] == "prompt_too_long"


def test_client_killed_half_way_frees_engine_memory(deployment):
    host, port = deployment.http["entry1"].removeprefix("http://").split(":")
    body = b'{"model": "m", "prompt": "%s", "max_tokens": 4000, "stream": true}' % (b"hr " * 9000)
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        f"Authorization: Bearer {deployment.caller_key}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        caller.sendall(head.encode() + body)
        assert caller.recv(100)
        assert memory(deployment) > 0
    deadline = time.monotonic() + MAX_FREE_SECONDS
    while memory(deployment) and time.monotonic() < deadline:
        time.sleep(0.2)
    assert memory(deployment) == 0


@pytest.mark.parametrize("victim", ["daemon", "engine"])
def test_stream_survives_a_kill_half_way(client, deployment, victim):
    request = {"model": MODEL, "prompt": "gazette of appointments " * 60, "max_tokens": 400}
    expected = client.completions.create(**request).choices[0].text
    parts = []
    for chunk in client.completions.create(**request, stream=True):
        parts.append(chunk.choices[0].text)
        if len(parts) == 10:
            kill_serving_process(deployment, victim)
    assert "".join(parts) == expected
    restart_daemons(deployment)


def kill_serving_process(deployment, victim):
    """Kill the engine that holds memory now, or the endpoint daemon that serves it."""
    engine = max(("e1", "e2"), key=deployment.engine_memory)
    if victim == "engine":
        deployment.faults(engine, action="die")
    else:
        deployment.kill(engine.replace("e", "d"))


def restart_daemons(deployment):
    """Restart the daemons that were killed and wait until the entry serves again."""
    for name in ("d1", "d2"):
        if deployment.processes[name].poll() is not None:
            deployment.restart(name)
    deployment.wait_until(lambda: deployment.serving("entry1"), "entry1 serving")
