"""Bodies of requests and answers: held once, and sent from there in pieces."""

import mmap

from aiohttp import payload

PIECE_BYTES = 32_768
"""Bytes that are handed to a connection at once; the next follow when most of them are taken."""

MAPPED_BYTES = 65_536
"""Size from which a body gets pages of its own, which the system has back when it ends."""


class Pages(mmap.mmap):
    """Memory of one body, which is given back as soon as it is discarded and nobody sends it.

    That does not wait until the last reference is gone, which may take as long as the next garbage
    collection.
    """

    def __new__(cls, size):
        """Return pages for `size` bytes; they become resident as they are written."""
        pages = super().__new__(cls, -1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
        pages.senders = 0
        pages.discarded = False
        return pages

    def begin_sending(self):
        """Keep the body while it is sent; raise ConnectionError if it is no longer there."""
        if self.discarded:
            raise ConnectionError("the body was discarded")
        self.senders += 1

    def end_sending(self):
        """Keep the body no longer for the sake of a sending."""
        self.senders -= 1
        self.give_back()

    def discard(self):
        """Give the memory back, once nobody sends the body."""
        self.discarded = True
        self.give_back()

    def give_back(self):
        """Give the memory back if the body is not needed any more."""
        if self.discarded and not self.senders:
            self.madvise(mmap.MADV_DONTNEED)


def pages_of(body):
    """Return the `Pages` in which a body lies, None if it is a small one."""
    pages = body.obj if isinstance(body, memoryview) else None
    return pages if isinstance(pages, Pages) else None


def discard(body):
    """Give back the memory of a body that is not sent again."""
    pages = pages_of(body)
    if pages is not None:
        pages.discard()


class BodyBuffer:
    """Collects a body of at most `limit` bytes; `size` are those that arrived.

    A large one lies in pages of its own: they become resident as they are written, and nothing is
    copied when it grows.
    """

    def __init__(self, limit):
        self.limit = limit
        self.size = 0
        self.small = bytearray()
        self.pages = None

    def add(self, data):
        """Append bytes; the sum must not exceed the limit."""
        end = self.size + len(data)
        if self.pages is None and end > MAPPED_BYTES:
            self.map()
        if self.pages is None:
            self.small += data
        else:
            self.pages[self.size : end] = data
        self.size = end

    def map(self):
        """Move what has arrived to pages of their own."""
        self.pages = Pages(self.limit)
        self.pages[: self.size] = self.small
        self.small = bytearray()

    def discard(self):
        """Give back the memory of a body that is not needed."""
        self.small = bytearray()
        if self.pages is not None:
            self.pages.discard()

    def content(self):
        """Return the body, which is not copied if it is large."""
        if self.pages is None:
            return bytes(self.small)
        return memoryview(self.pages)[: self.size].toreadonly()


class HeldBody(payload.Payload):
    """Sends a body in pieces, each once the connection has taken most of those before.

    The connection gets copies: it may still hold the last ones when the body is given back.

    `on_sent(size)`, if there is one, is called after each piece.
    """

    _default_content_type = "application/octet-stream"

    def __init__(self, body, on_sent=None):
        super().__init__(body)
        self._size = len(body)
        self.view = memoryview(body)
        self.pages = pages_of(body)
        self.on_sent = on_sent

    def decode(self, encoding="utf-8", errors="strict"):
        """Return the body as text."""
        return str(self.view, encoding, errors)

    async def write(self, writer):
        """Send the body."""
        await self.write_with_length(writer, None)

    async def write_with_length(self, writer, content_length):
        """Send the body, at most `content_length` bytes of it if that is not None."""
        if self.pages is None:
            await self.write_pieces(writer, content_length)
            return
        self.pages.begin_sending()
        try:
            await self.write_pieces(writer, content_length)
        finally:
            self.pages.end_sending()

    async def write_pieces(self, writer, content_length):
        """Send the body piece by piece."""
        end = len(self.view) if content_length is None else content_length
        for start in range(0, min(end, len(self.view)), PIECE_BYTES):
            piece = bytes(self.view[start : min(start + PIECE_BYTES, end)])
            await writer.write(piece)
            if self.on_sent is not None:
                self.on_sent(len(piece))


def payload_of(body, on_sent=None):
    """Return what to send for a body: in pieces if it is large, None if it is empty."""
    if len(body) <= PIECE_BYTES:
        return body or None
    return HeldBody(body, on_sent)
