"""Event streams whose bytes do not end, or come in very small pieces."""

import time

import pytest

from persimmonstall.direct.events import MAX_EVENT_BYTES, EventReader

PIECE_BYTES = 16
LARGE_EVENT_BYTES = 1 << 20

LARGE_EVENT_SECONDS = 2.0
"""Linear work takes some hundredths of this, quadratic work several times as much."""


def feed_pieces(reader, data, size):
    return b"".join(reader.feed(data[start : start + size]) for start in range(0, len(data), size))


def test_large_event_in_small_pieces_takes_linear_time():
    event = b"id: 1\ndata: " + b"x" * LARGE_EVENT_BYTES + b"\n\n"
    reader = EventReader()
    started_at = time.process_time()
    assert feed_pieces(reader, event, PIECE_BYTES) == event
    assert time.process_time() - started_at < LARGE_EVENT_SECONDS
    assert (reader.last, reader.partial, reader.too_large) == (1, False, False)


@pytest.mark.parametrize("size", [1, 2, 3, 5, 64])
def test_events_are_split_at_the_same_bytes_in_pieces_of_any_size(size):
    data = b"id: 1\ndata: a\n\n\nid: 2\ndata: b\n\nid: 3\nda"
    reader = EventReader()
    assert feed_pieces(reader, data, size) == data[:-8]
    assert (reader.last, reader.partial) == (2, True)


@pytest.mark.parametrize(
    "endless",
    [
        b"id: 1\ndata: a\n\nid: 2\ndata: " + b"x" * 65_536,
        b"x" * 65_536,
        b"\n\n" * 32_768,
        b": no number\n\n" * 5_000,
    ],
)
def test_bytes_without_another_numbered_event_are_bounded(endless):
    reader = EventReader()
    reader.feed(endless)
    filler = endless[-60_000:]
    fed = 0
    while not reader.too_large:
        reader.feed(filler)
        fed += len(filler)
        assert fed <= MAX_EVENT_BYTES + 65_536
        assert len(reader.buffer) <= MAX_EVENT_BYTES + len(endless)
    assert reader.feed(b"\n\nid: 9\ndata: a\n\n") == b""


def test_endless_numbered_events_are_no_fault():
    reader = EventReader()
    for number in range(3000):
        assert reader.feed(b"id: %d\ndata: %s\n\n" % (number, b"x" * 1000))
    assert not reader.too_large


def test_event_number_with_very_many_digits_is_invalid():
    reader = EventReader()
    assert reader.feed(b"id: " + b"9" * 10_000 + b"\ndata: a\n\n") == b""
    assert reader.out_of_order
