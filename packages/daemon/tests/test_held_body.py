"""Bodies are held once, sent in pieces and given back when they are discarded."""

import asyncio
import socket

import pytest
import uvloop

from persimmonstall_daemon.direct.held_body import (
    MAPPED_BYTES,
    PIECE_BYTES,
    BodyBuffer,
    HeldBody,
    discard,
    payload_of,
)

LARGE = 3 * MAPPED_BYTES
SMALL_BUFFER_BYTES = 16_384


class Writer:
    """Takes pieces; calls `on_piece` before each."""

    def __init__(self, on_piece=lambda: None):
        self.pieces = []
        self.on_piece = on_piece

    async def write(self, data):
        """Take a piece."""
        self.on_piece()
        self.pieces.append(bytes(data))


def collect(size, piece=10_000):
    """Return a body that arrived piece by piece, and what was sent."""
    sent = bytes(range(256)) * (size // 256)
    buffer = BodyBuffer(size)
    for start in range(0, len(sent), piece):
        buffer.add(sent[start : start + piece])
    return buffer.content(), sent


@pytest.mark.parametrize("size", [256, MAPPED_BYTES, MAPPED_BYTES + 256, LARGE])
def test_body_is_what_arrived(size):
    body, sent = collect(size)
    assert bytes(body) == sent
    assert isinstance(body, bytes) == (size <= MAPPED_BYTES)


def test_large_body_is_sent_in_pieces_again_and_again():
    body, sent = collect(LARGE)
    for _ in range(2):
        writer = Writer()
        asyncio.run(payload_of(body).write(writer))
        assert b"".join(writer.pieces) == sent
        assert max(map(len, writer.pieces)) == PIECE_BYTES


def test_body_that_is_discarded_is_given_back_and_never_sent_again():
    body, _sent = collect(LARGE)
    writer = Writer()
    discard(body)
    assert bytes(body) == bytes(LARGE)
    with pytest.raises(ConnectionError):
        asyncio.run(HeldBody(body).write(writer))
    assert writer.pieces == []


def test_body_that_is_discarded_while_it_is_sent_is_sent_to_its_end():
    body, sent = collect(LARGE)
    writer = Writer(lambda: discard(body))
    asyncio.run(HeldBody(body).write(writer))
    assert b"".join(writer.pieces) == sent
    assert bytes(body) == bytes(LARGE)


class TransportWriter:
    """Hands pieces to a transport, which sends them when the peer takes them."""

    def __init__(self, transport):
        self.transport = transport

    async def write(self, data):
        """Hand over a piece."""
        self.transport.write(data)


async def send_and_discard(body):
    """Send a body to a peer that reads only once it is discarded; return what the peer gets."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    for each in (ours, theirs):
        each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        each.setblocking(False)
    transport, _ = await loop.create_connection(asyncio.Protocol, sock=ours)
    await HeldBody(body).write(TransportWriter(transport))
    assert transport.get_write_buffer_size() > MAPPED_BYTES
    discard(body)
    transport.close()
    received = bytearray()
    while data := await loop.sock_recv(theirs, SMALL_BUFFER_BYTES):
        received += data
    theirs.close()
    return bytes(received)


def test_end_of_a_body_that_waits_in_its_connection_is_no_zeros_once_it_is_discarded():
    """Slow callers got answers, and endpoints requests, whose end was zeros."""
    body, sent = collect(LARGE)
    assert uvloop.run(send_and_discard(body)) == sent


def test_small_body_is_sent_as_it_is():
    assert payload_of(b"small") == b"small"
    assert payload_of(b"") is None
