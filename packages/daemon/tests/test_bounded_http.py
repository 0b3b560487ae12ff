"""Bounds on the answers of peers, against a server that sends given bytes."""

import asyncio
import itertools

import aiohttp
import pytest

from persimmonstall.failures import Reason
from persimmonstall.outside.service import ServiceCall
from persimmonstall_daemon import bounded_http
from persimmonstall_daemon.adapters.engine import HttpEngine
from persimmonstall_daemon.adapters.http_client import HttpClient
from persimmonstall_daemon.adapters.service import HttpService
from persimmonstall_daemon.bounded_body import LineReader, read_body
from persimmonstall_daemon.bounded_http import AnswerRejected, open_session
from persimmonstall_standins.raw_server import RawServer

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 65_536
SENT_ALLOWANCE_BYTES = 16 << 20
"""More than the buffers of a connection on loopback."""


def endless(start, piece):
    return lambda: itertools.chain([start], itertools.repeat(piece))


def on_server(answer, scenario):
    async def main():
        async with asyncio.timeout(10), RawServer(answer) as server:
            async with open_session() as session:
                return await scenario(server, session)

    return asyncio.run(main())


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize(
    "answer",
    [
        endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000),
        endless(b"", b"\r\n" * 1000),
        endless(HEAD + b"X: ", PIECE),
        endless(HEAD, b"X: y\r\n" * 1000),
        endless(HEAD + b"Content-Length: 99999999999999\r\n\r\n", PIECE),
        endless(HEAD + b"\r\n", PIECE),
        endless(CHUNKED, chunk(PIECE)),
        endless(CHUNKED, b"1\r\nx\r\n" * 1000),
        endless(CHUNKED, b"0" * 1000),
        endless(CHUNKED + b"1;", PIECE),
        endless(CHUNKED + b"0\r\n", b"X: y\r\n" * 1000),
    ],
)
def test_answer_without_end_is_rejected_and_its_connection_closed(answer):
    async def scenario(server, session):
        with pytest.raises(aiohttp.ClientError):
            async with session.get(server.url) as response:
                await read_body(response, 1 << 20)
        await server.wait_closed()
        assert server.sent < SENT_ALLOWANCE_BYTES

    on_server(answer, scenario)


@pytest.mark.parametrize("size", [0, 1, 65_536, 8 << 20])
@pytest.mark.parametrize("framing", ["length", "chunks", "small_chunks", "none"])
def test_body_up_to_the_limit_is_read_whole(size, framing):
    body = bytes(range(256)) * (size // 256) + b"y" * (size % 256)
    piece = 64 if framing == "small_chunks" else 70_000
    chunks = b"".join(chunk(body[i : i + piece]) for i in range(0, size, piece))
    answer = {
        "length": [HEAD + b"Content-Length: %d\r\n\r\n" % size, body],
        "none": [HEAD + b"Connection: close\r\n\r\n", body],
        "chunks": [CHUNKED, chunks, b"0\r\n\r\n"],
        "small_chunks": [CHUNKED, chunks, b"0\r\n\r\n"],
    }[framing]

    async def scenario(server, session):
        server.closes = framing == "none"
        async with session.get(server.url) as response:
            assert await read_body(response, size) == body

    on_server(lambda: answer, scenario)


@pytest.mark.parametrize("rest", [b"no size\r\n", b"1\r\nxx", b"ffffffffffffffffffff\r\n"])
def test_malformed_chunk_is_a_client_error_and_no_bug(rest):
    async def scenario(server, session):
        async with session.get(server.url) as response:
            with pytest.raises(aiohttp.ClientError):
                await read_body(response, 1000)
        await server.wait_closed()

    on_server(lambda: [CHUNKED, b"1\r\nx\r\n", rest], scenario)


def test_answer_larger_than_the_limit_is_rejected():
    async def scenario(server, session):
        async with session.get(server.url) as response:
            with pytest.raises(AnswerRejected):
                await read_body(response, 4)
        await server.wait_closed()

    on_server(lambda: [HEAD + b"Content-Length: 5\r\n\r\n", b"who"], scenario)


@pytest.mark.parametrize(
    "extra",
    [
        b"x",
        b"\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
        b"HTTP/1.1 200 OK\r\nX:",
    ],
)
@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_bytes_after_an_answer_are_not_taken_for_the_next_one(extra, pause):
    async def scenario(server, session):
        for _ in range(3):
            async with session.get(server.url) as response:
                assert await read_body(response, 100) == b"whole"
            await asyncio.sleep(pause)

    on_server(lambda: [HEAD + b"Content-Length: 5\r\n\r\nwhole", extra], scenario)


@pytest.mark.parametrize("split", range(1, 5))
def test_extra_bytes_do_not_cost_an_answer_whose_head_ends_over_two_segments(split):
    head = HEAD + b"Content-Length: 5\r\n\r\n"

    async def scenario(server, session):
        async with session.get(server.url) as response:
            assert await read_body(response, 100) == b"whole"

    pause = [b""] * 20
    on_server(lambda: [head[:-split], *pause, head[-split:] + b"wholeJUNK"], scenario)


def test_sound_connection_is_used_again():
    async def scenario(server, session):
        for _ in range(3):
            async with session.get(server.url) as response:
                assert await read_body(response, 100) == b"whole"
        assert server.open == 1

    on_server(lambda: [HEAD + b"Content-Length: 5\r\n\r\n", b"whole"], scenario)


def test_lines_are_read_whole_and_a_line_without_end_is_rejected():
    lines = [b"a\n", b"\n", b"b" * 70_000 + b"\n"]
    answer = endless(HEAD + b"\r\n" + b"".join(lines), PIECE)

    async def scenario(server, session):
        async with session.get(server.url) as response:
            reader = LineReader(response, 1 << 20)
            assert [await reader.read() for _ in lines] == lines
            with pytest.raises(AnswerRejected):
                await reader.read()
        await server.wait_closed()
        assert server.sent < SENT_ALLOWANCE_BYTES

    on_server(answer, scenario)


def test_engine_steps_end_at_a_line_without_end_or_that_is_no_step():
    async def read_steps(url):
        engine = HttpEngine(url)
        steps = [step async for step in engine.steps()]
        await engine.close()
        return steps

    async def scenario(server, _session):
        assert await read_steps(server.url) == []
        await server.wait_closed()
        assert server.sent < SENT_ALLOWANCE_BYTES + (4 << 20)

    for start in (b"", b"no step\n"):
        on_server(endless(HEAD + b"\r\n" + start, PIECE), scenario)


def test_clients_of_services_report_an_answer_without_end(monkeypatch):
    monkeypatch.setattr("persimmonstall_daemon.adapters.http_client.MAX_ANSWER_BYTES", 1 << 20)
    monkeypatch.setattr("persimmonstall_daemon.adapters.service.MAX_ANSWER_BYTES", 1 << 20)

    async def scenario(server, _session):
        client, service = HttpClient(server.url, "peer"), HttpService(server.url, "peer")
        failures = [
            await client.post("read", b"[]", 5.0, Reason.AMBIGUOUS),
            await service.call(ServiceCall("c", "method", b"", "text/plain"), 5.0),
        ]
        await client.close()
        await service.close()
        assert [f.reason for f in failures] == [Reason.AMBIGUOUS, Reason.ENDPOINT_LOST]
        assert all("limit" in f.detail and f.peer == "peer" for f in failures)
        await server.wait_closed()
        assert server.sent < 2 * SENT_ALLOWANCE_BYTES

    on_server(endless(CHUNKED, chunk(PIECE)), scenario)


def test_connector_opens_bounded_connections():
    async def scenario(_server, session):
        protocol = session.connector._factory()
        assert isinstance(protocol, bounded_http.BoundedResponseHandler)

    on_server(list, scenario)


@pytest.mark.parametrize(("data", "reads"), [(b"", True), (b"some", True), (PIECE, False)])
def test_closed_answer_keeps_no_bytes_and_its_reader_fails(data, reads):
    head = HEAD + b"Content-Length: 99999999\r\n\r\n"

    async def scenario(server, session):
        async with session.get(server.url, allow_redirects=False) as response:
            if data and reads:
                assert await response.content.readany() == data
            reading = asyncio.create_task(response.content.readany()) if reads else None
            await asyncio.sleep(0.05)
            response.close()
            assert not response.content._buffer
            if reading is not None:
                with pytest.raises(aiohttp.ClientError):
                    await reading

    on_server(lambda: (head, data), scenario)


@pytest.mark.parametrize("status", [0, 99, 600, 700, 999])
def test_status_that_is_none_of_a_final_answer_is_rejected(status):
    """The caller of a plain service got such statuses as answers."""
    answer = [b"HTTP/1.1 %03d Odd\r\nContent-Length: 3\r\n\r\nown" % status]

    async def scenario(server, _session):
        service = HttpService(server.url)
        result = await service.call(ServiceCall("c", "m", b""), 1.0)
        await service.close()
        assert result.reason is Reason.ENDPOINT_LOST

    on_server(lambda: answer, scenario)


@pytest.mark.parametrize(("size", "ends"), [(0, False), (1 << 24, False), (1 << 24, True)])
def test_part_of_an_unframed_answer_is_not_whole_if_its_connection_is_reset(size, ends):
    """The caller of a plain service got the part as the whole answer."""
    answer = [HEAD + b"Connection: close\r\n\r\n", b"part"]

    async def scenario(server, _session):
        server.ends, server.resets = ends, not ends
        service = HttpService(server.url)
        result = await service.call(ServiceCall("c", "m", b"x" * size), 2.0)
        await service.close()
        assert result.reason is Reason.ENDPOINT_LOST

    on_server(lambda: answer, scenario)
