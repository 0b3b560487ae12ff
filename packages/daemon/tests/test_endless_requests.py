"""Requests without end to the HTTP server for callers of the product's own interface."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from persimmonstall import settings as settings_package
from persimmonstall.clock import Context
from persimmonstall_daemon.entry.http import server as http_server

PIECE = b"x" * 65_536
BODY_BYTES = 1 << 20
SENT_ALLOWANCE_BYTES = 32 << 20
CLOSED_SECONDS = 4.0

PLACES = {
    "header_line": (b"X-Long: x", PIECE),
    "header_lines": (b"", b"X-Again: x\r\n" * 1000),
    "body": (b"Content-Length: 999999999999\r\n\r\n", PIECE),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
}


async def send_endlessly(port, path, place):
    """Send a request without end until the connection is closed; return how much was sent."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    start, piece = PLACES[place]
    writer.write(b"POST " + path + b" HTTP/1.1\r\nHost: h.example\r\n" + start)
    sent = 0
    try:
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
            sent += len(piece)
    except ConnectionError:
        return sent
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("path", [b"/v1/chat/completions", b"/v1/services/s/m", b"/nowhere"])
@pytest.mark.parametrize("place", PLACES)
def test_request_without_end_is_closed(path, place, monkeypatch):
    monkeypatch.setattr(http_server, "LINGER_SECONDS", 0.2)

    async def scenario():
        settings = settings_package.Settings()
        settings.daemon.http = "127.0.0.1:0"
        settings.callers.body_bytes = BODY_BYTES
        entry = SimpleNamespace(settings=settings, context=Context(random=random.Random(1)))
        server = http_server.HttpServer(entry)
        await server.start()
        try:
            async with asyncio.timeout(CLOSED_SECONDS):
                await send_endlessly(server.port, path, place)
        finally:
            await server.stop()

    asyncio.run(scenario())
