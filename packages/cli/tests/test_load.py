import asyncio

import orjson
import pytest
from aiohttp import web

from persimmonstall.settings import Settings
from persimmonstall_cli.load.plan import LoadOptions, plan_requests
from persimmonstall_cli.load.plot import save_plot
from persimmonstall_cli.load.run import run_load
from persimmonstall_cli.load.summary import load_report, slowdowns

LOAD = LoadOptions(rate=60.0, seconds=0.5, mix="10:3,5k:1", max_tokens=8, stream_share=0.7, seed=2)


def event(choices, **more):
    return b"data: " + orjson.dumps({"choices": choices} | more) + b"\n\n"


async def complete(request):
    """Answer prompts of up to 1000 characters; reject longer ones as overloaded.

    Streams end with `[DONE]` only for the API key "good", otherwise they are cut off before it.
    """
    body = await request.json()
    if len(body["messages"][0]["content"]) > 1000:
        error = {"code": "overloaded", "outcome": "not_run", "retry_after": 2.0}
        return web.json_response({"error": error}, status=503)
    usage = {"completion_tokens": 2}
    if not body["stream"]:
        return web.json_response({"choices": [], "usage": usage})
    answer = web.StreamResponse()
    await answer.prepare(request)
    await answer.write(event([{"delta": {"content": " t1"}}]))
    await answer.write(event([{"delta": {}, "finish_reason": "stop"}]))
    await answer.write(event([], usage=usage))
    if request.headers["Authorization"] == "Bearer good":
        await answer.write(b"data: [DONE]\n\n")
    return answer


async def run_against_server(key):
    """Return the results of LOAD against a server; see `complete` for the meaning of `key`."""
    app = web.Application(client_max_size=2**24)
    app.add_routes([web.post("/v1/chat/completions", complete)])
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        return await run_load(LOAD, [url], key, 4000, alone=True)
    finally:
        await runner.cleanup()


@pytest.fixture(scope="module")
def results():
    return asyncio.run(run_against_server("good"))


def test_a_plan_is_the_same_for_the_same_seed():
    assert plan_requests(LOAD) == plan_requests(LOAD)
    assert plan_requests(LOAD) != plan_requests(
        LoadOptions(rate=60.0, seconds=0.5, mix="10:3,5k:1", seed=3)
    )


def test_every_request_has_its_result(results):
    planned = plan_requests(LOAD)
    mixed = [one for one in results if one.phase == "mixed"]
    assert [one.planned for one in mixed] == list(planned)
    assert {one.outcome for one in mixed if one.planned.tokens == 10} == {"whole"}
    assert {one.code for one in mixed if one.planned.tokens == 5000} == {"overloaded"}


def test_the_report_counts_by_class(results, tmp_path):
    report = load_report(results, Settings().lengths, 0.0)
    by_class = {(row[0], row[1]): row for row in report.rows}
    sent = sum(1 for one in plan_requests(LOAD) if one.tokens == 5000)
    assert by_class["mixed", "medium"][2:8] == (sent, 0, sent, 0, 0, 0)
    assert len(slowdowns(results)) > 0
    save_plot(results, tmp_path / "plot.svg")
    assert (tmp_path / "plot.svg").stat().st_size > 1000


def test_a_stream_without_its_end_mark_is_broken():
    results = asyncio.run(run_against_server("bad"))
    streamed = [one for one in results if one.planned.stream and one.planned.tokens == 10]
    assert {one.outcome for one in streamed} == {"broken"}
