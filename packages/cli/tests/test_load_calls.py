import asyncio
import collections

import pytest
from aiohttp import web

from persimmonstall_cli import exits
from persimmonstall_cli.load.call_plan import DEFAULT_METHODS, CallOptions, plan_calls
from persimmonstall_cli.load.calls import calls_report, run_calls
from persimmonstall_cli.main import main

OPTIONS = CallOptions("/a?b=c", rate=200.0, seconds=0.5, headers=(("X-Id", "n-{id}"),), seed=2)
BROKEN = "DELETE"
REFUSED = "PUT"


@pytest.fixture(scope="module")
def played():
    """Results of a load, and the requests (id, method, target, body) that arrived."""
    arrived = []

    async def handle(request):
        body = await request.read()
        arrived.append((request.headers["X-Id"], request.method, request.path_qs, body))
        if request.method == BROKEN:
            request.transport.abort()
        return web.Response(status=503 if request.method == REFUSED else 200)

    async def play():
        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        try:
            return await run_calls(OPTIONS, [url])
        finally:
            await runner.cleanup()

    return asyncio.run(play()), arrived


def test_each_planned_call_is_sent_once_with_its_method_and_body(played):
    results, arrived = played
    planned = plan_calls(OPTIONS)
    assert [result.planned for result in results] == list(planned)
    assert {one.method for one in planned} == set(DEFAULT_METHODS)
    sent = {(f"n-2-{p.number}", p.method, "/a?b=c", b"x" * p.body_bytes) for p in planned}
    assert collections.Counter(arrived) == collections.Counter(sent)


def test_report_counts_by_method_and_body(played):
    results, _ = played
    report = calls_report(results)
    assert {(row[0], row[1]) for row in report.rows} == {
        (method, body) for method in DEFAULT_METHODS for body in (False, True)
    }
    for method, _, sent, succeeded, not_run, failed, broken, *_ in report.rows:
        expected = {BROKEN: (0, 0, 0, sent), REFUSED: (0, sent, 0, 0)}
        assert (succeeded, not_run, failed, broken) == expected.get(method, (sent, 0, 0, 0))


def test_malformed_header_is_a_usage_error(capsys):
    assert main(["load", "calls", "/a", "--header=X-Id"]) == exits.USAGE
    assert "NAME: VALUE" in capsys.readouterr().err
