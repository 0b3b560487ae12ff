"""HTTP server that answers every request with given bytes, for tests of clients."""

import asyncio
import contextlib
import socket
import struct

END_OF_HEAD = b"\r\n\r\n"
CLOSED_SECONDS = 2.0
"""Time within which all connections have to close."""

RESET_SECONDS = 0.02
RESET_LINGER = struct.pack("ii", 1, 0)
"""Time from the end of a stream to the reset, and value of SO_LINGER with which a close is one."""


class RawServer:
    """Answers each request with the byte strings of `answer()`, which may not end.

    `heads` are the heads of the requests, `sent` is the number of bytes sent and `open` that of
    open connections.  A server that `closes` closes a connection after each answer, one that
    `resets` resets it a moment later, and one that `ends` ends its stream before that.
    """

    def __init__(self, answer):
        self.answer = answer
        self.heads = []
        self.sent = 0
        self.open = 0
        self.closes = False
        self.resets = False
        self.ends = False
        self.address = ""
        self.server = None

    @property
    def requests(self):
        """The number of requests."""
        return len(self.heads)

    @property
    def url(self):
        """The URL of the server."""
        return f"http://{self.address}"

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.open += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                self.heads.append(await reader.readuntil(END_OF_HEAD))
                await self.send_answer(writer)
                if self.resets or self.ends:
                    await reset_soon(writer, self.ends)
                    break
                if self.closes:
                    writer.close()
                    await writer.wait_closed()
        self.open -= 1
        writer.transport.abort()

    async def send_answer(self, writer):
        """Send the answer to one request."""
        for piece in self.answer():
            writer.write(piece)
            await writer.drain()
            self.sent += len(piece)
            await asyncio.sleep(0)

    async def wait_closed(self):
        """Wait until no connection is open; raise TimeoutError if one stays open."""
        async with asyncio.timeout(CLOSED_SECONDS):
            while self.open:
                await asyncio.sleep(0.01)


async def reset_soon(writer, ends):
    """Reset a connection in a moment, and end its stream now if it `ends`."""
    if ends:
        writer.write_eof()
    await asyncio.sleep(RESET_SECONDS)
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
