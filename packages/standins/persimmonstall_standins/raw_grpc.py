"""Stand-in for a gRPC server that gets calls and answers none, by frames of HTTP/2."""

import asyncio
import contextlib
import enum
import threading

PREFACE_BYTES = 24
HEADER_BYTES = 9
"""Sizes of what a client sends first, and of the header of each frame."""

DATA, HEADERS, RST_STREAM, SETTINGS, GOAWAY = 0, 1, 3, 4, 7
"""Types of frames."""

ACKNOWLEDGED = END_STREAM = 1
REFUSED_STREAM = 7
START_SECONDS = 5.0


class LostCall(enum.Enum):
    """How a call ends without an answer."""

    CLOSE = "the connection closes"
    REFUSE = "the stream is refused as not processed"
    GOAWAY = "the connection is given up before any stream was processed"


def frame(kind, stream=0, payload=b"", flags=0):
    """Return the bytes of a frame."""
    head = len(payload).to_bytes(3, "big") + bytes((kind, flags)) + stream.to_bytes(4, "big")
    return head + payload


class RawGrpcServer(threading.Thread):
    """Counts the calls that arrive, and ends each by a `LostCall`; a context manager."""

    def __init__(self, lost_call):
        super().__init__(daemon=True)
        self.lost_call = lost_call
        self.calls = 0
        self.address = ""
        self.loop = None
        self.stopping = None
        self.started = threading.Event()

    def __enter__(self):
        self.start()
        assert self.started.wait(START_SECONDS)
        return self

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.stopping.set)
        self.join(START_SECONDS)

    def run(self):
        """Serve until the context ends."""
        asyncio.run(self.listen())

    async def listen(self):
        """Accept connections until the context ends."""
        self.loop, self.stopping = asyncio.get_running_loop(), asyncio.Event()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.started.set()
        await self.stopping.wait()
        server.close()

    async def serve(self, reader, writer):
        """Read the frames of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readexactly(PREFACE_BYTES)
            writer.write(frame(SETTINGS))
            while not writer.is_closing():
                await self.read_frame(reader, writer)
        writer.close()

    async def read_frame(self, reader, writer):
        """Read a frame; count a call at its first frame, and lose it after its last one."""
        head = await reader.readexactly(HEADER_BYTES)
        kind, flags, stream = head[3], head[4], int.from_bytes(head[5:], "big")
        await reader.readexactly(int.from_bytes(head[:3], "big"))
        if kind == SETTINGS and not flags & ACKNOWLEDGED:
            writer.write(frame(SETTINGS, flags=ACKNOWLEDGED))
        self.calls += kind == HEADERS
        if kind in (DATA, HEADERS) and flags & END_STREAM:
            self.lose(writer, stream)

    def lose(self, writer, stream):
        """End a call without an answer."""
        if self.lost_call is LostCall.CLOSE:
            writer.transport.abort()
        elif self.lost_call is LostCall.REFUSE:
            writer.write(frame(RST_STREAM, stream, REFUSED_STREAM.to_bytes(4, "big")))
        else:
            writer.write(frame(GOAWAY, payload=bytes(8)))
