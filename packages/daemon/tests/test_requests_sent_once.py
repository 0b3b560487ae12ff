"""What the HTTP clients do by themselves: one request for each call, to the given address."""

import asyncio

import msgspec
import pytest

from persimmonstall.failures import Failure
from persimmonstall.outside.engine import Job
from persimmonstall.outside.service import ServiceCall
from persimmonstall.outside.table import Write
from persimmonstall_daemon.adapters.engine import HttpEngine
from persimmonstall_daemon.adapters.objects import HttpObjects
from persimmonstall_daemon.adapters.service import HttpService
from persimmonstall_daemon.adapters.table import HttpTable
from persimmonstall_daemon.bounded_http import ConnectionBroken, open_session
from persimmonstall_standins.raw_server import RawServer

TIMEOUT_SECONDS = 1.0
SETTLE_SECONDS = 0.1
"""Time in which a client would send a request again."""

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST")
CALL = ServiceCall("c1", "file", b"{}")
JOB = Job("j1", "d1", "chat", "", b"a prompt", 1000, 4000, 1200, 5)


def closed():
    """Answer with nothing; the connection closes."""
    return ()


def redirected():
    """Answer that the resource is elsewhere, where the request would be repeated as it is."""
    head = b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n"
    return (head + b"Content-Length: 0\r\n\r\n",)


async def commit(url):
    """Write a row."""
    table = HttpTable(url)
    return table, await table.commit((Write("t", "k", 0, b""),), TIMEOUT_SECONDS)


async def put_object(url):
    """Store an object."""
    objects = HttpObjects(url)
    return objects, await objects.put("o", b"", TIMEOUT_SECONDS)


async def call_service(url):
    """Call a plain service."""
    service = HttpService(url)
    return service, await service.call(CALL, TIMEOUT_SECONDS)


async def submit(url):
    """Start a job of an engine."""
    engine = HttpEngine(url)
    return engine, await engine.submit(JOB, TIMEOUT_SECONDS)


async def read_steps(url):
    """Read the steps of an engine."""
    engine = HttpEngine(url)
    return engine, [step async for step in engine.steps()]


CLIENTS = (commit, put_object, call_service, submit, read_steps)


@pytest.mark.parametrize("answer", [closed, redirected])
@pytest.mark.parametrize("use", CLIENTS)
def test_request_without_an_answer_of_its_own_is_not_sent_again(use, answer):
    async def main():
        async with asyncio.timeout(5), RawServer(answer) as server:
            server.closes = answer is closed
            client, result = await use(server.url)
            await asyncio.sleep(SETTLE_SECONDS)
            await client.close()
            assert server.requests == 1
            return result

    result = asyncio.run(main())
    if answer is closed:
        assert isinstance(result, Failure) or result == []


@pytest.mark.parametrize("method", METHODS)
def test_session_sends_a_request_of_any_method_once(method):
    async def main():
        async with RawServer(closed) as server, open_session() as session:
            server.closes = True
            for data in (None, b"body"):
                server.heads.clear()
                with pytest.raises(ConnectionBroken):
                    await session.request(method, server.url, data=data)
                assert server.requests == 1

    asyncio.run(main())


def test_redirect_of_a_service_is_passed_on_as_its_answer():
    async def main():
        async with RawServer(redirected) as server:
            client, answer = await call_service(server.url)
            await client.close()
            assert answer.status == 307

    asyncio.run(main())


def test_cookie_of_one_call_is_not_sent_with_the_next():
    answer = b"HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nContent-Length: 0\r\n\r\n"

    async def main():
        async with RawServer(lambda: (answer,)) as server:
            service = HttpService(server.url.replace("127.0.0.1", "localhost"))
            for _ in range(2):
                await service.call(CALL, TIMEOUT_SECONDS)
            await service.close()
            assert server.requests == 2
            assert not any(b"cookie" in head.lower() for head in server.heads)

    asyncio.run(main())


@pytest.mark.parametrize("header", [b"Content-Type: text/\xe9", b"Not-Run: \xe9"])
def test_answer_with_a_header_that_is_not_utf8_has_an_encoding(header):
    answer = b"HTTP/1.1 200 OK\r\n" + header + b"\r\nContent-Length: 0\r\n\r\n"

    async def main():
        async with RawServer(lambda: (answer,)) as server:
            client, result = await call_service(server.url)
            await client.close()
            assert msgspec.msgpack.encode(result)

    asyncio.run(main())
