"""Bodies are held once, sent in pieces and given back when they are discarded."""

import asyncio

import pytest

from persimmonstall_daemon.direct.held_body import (
    MAPPED_BYTES,
    PIECE_BYTES,
    BodyBuffer,
    HeldBody,
    discard,
    payload_of,
)

LARGE = 3 * MAPPED_BYTES


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


def test_small_body_is_sent_as_it_is():
    assert payload_of(b"small") == b"small"
    assert payload_of(b"") is None
