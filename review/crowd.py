"""A crowd of callers that misbehave, in a process of its own; started by the scripts.

Usage: crowd.py PATTERN CONNECTIONS ADDRESS SECONDS
"""

import asyncio
import sys
import time

import rig

FIELDS = 1500
AHEAD = 200
"""Short fields of a head, and requests that are sent ahead on one connection."""

BODY_CHUNKS = 63
CHUNK_BYTES = 65536
"""Chunks of a body and their size: 64 KiB less than the limit of 4 MiB."""

STAY_SECONDS = 5.0
"""Longest time for which a caller stays after it has sent what it sends."""

LEAVE_SECONDS = 0.5
"""Time after which a caller of the last pattern leaves."""

REOPEN_SECONDS = 0.01


def head(method, attempt, fields):
    """Return a head without a length."""
    usual = [
        ("Host", rig.HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "1500"),
        ("Authorization", f"Token {rig.KEY}"),
    ]
    return rig.encode(f"{method} /read/r HTTP/1.1", usual + fields, length=False)


async def send_fields(writer, attempt):
    """Send requests ahead, each with very many short fields."""
    fields = [(f"a{number}", "") for number in range(FIELDS)]
    data = head("GET", attempt, fields)
    for _ in range(AHEAD):
        writer.write(data)
        await writer.drain()


async def send_chunks(writer, attempt):
    """Send a body in chunks that stops just short of its end."""
    writer.write(head("POST", attempt, [("Transfer-Encoding", "chunked")]))
    for _ in range(BODY_CHUNKS):
        writer.write(b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"z" * CHUNK_BYTES))
        await writer.drain()


async def send_and_leave(writer, attempt):
    """Send one request with very many short fields, and leave soon."""
    fields = [(f"a{number}", "") for number in range(FIELDS)]
    writer.write(head("GET", attempt, fields))
    await asyncio.sleep(LEAVE_SECONDS)
    writer.transport.abort()


PATTERNS = {"fields": send_fields, "chunks": send_chunks, "leave": send_and_leave}


async def caller(number, pattern, address, end):
    """Send what the pattern says, stay open, and come again when the connection is closed."""
    count = 0
    while time.monotonic() < end:
        count += 1
        connection = rig.Connection(address)
        try:
            await connection.open()
            await PATTERNS[pattern](connection.writer, f"crowd-{number}-{count}")
            async with asyncio.timeout(min(STAY_SECONDS, max(0.1, end - time.monotonic()))):
                await connection.reader.read(1)
        except (OSError, TimeoutError):
            await asyncio.sleep(REOPEN_SECONDS)
        finally:
            if connection.writer is not None:
                connection.writer.transport.abort()


async def main(pattern, connections, address, seconds):
    """Run the callers."""
    end = time.monotonic() + float(seconds)
    callers = (caller(number, pattern, address, end) for number in range(int(connections)))
    await asyncio.gather(*callers)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
