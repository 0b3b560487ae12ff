"""Splits a server-sent event stream into whole events and checks the order of their ids."""

import re

import attrs

END_OF_EVENT = b"\n\n"
ID_FIELD = re.compile(rb"^id:(.*)$", re.MULTILINE)

MAX_EVENT_BYTES = 1 << 21
"""Most bytes of a stream without the end of another event that has an id."""

MAX_ID_DIGITS = 18


@attrs.define
class EventReader:
    r"""Splits a byte stream into whole events without changing the bytes.

    `last` is the id of the last whole event, -1 before the first.  `buffer` holds the start of an
    incomplete event, `unnumbered` counts the bytes of whole events since the last id.

    >>> reader = EventReader()
    >>> reader.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    b'id: 0\ndata: a\n\n'
    >>> reader.last, reader.partial
    (0, True)
    """

    last: int = -1
    buffer: bytearray = attrs.field(factory=bytearray)
    unnumbered: int = 0
    out_of_order: bool = False
    too_large: bool = False

    @property
    def partial(self):
        """Whether the start of an incomplete event is buffered."""
        return bool(self.buffer)

    @property
    def invalid(self):
        """Whether the stream is invalid, so that nothing more is returned."""
        return self.out_of_order or self.too_large

    def feed(self, data):
        """Return the events that `data` completes, byte for byte.

        An event whose id is not greater than the last one sets `out_of_order`, more than
        `MAX_EVENT_BYTES` without another id set `too_large`; after that nothing is returned.
        """
        if self.invalid:
            return b""
        whole = self.take_whole(data)
        before = self.last
        if not self.check_order(whole):
            self.out_of_order = True
            return b""
        self.unnumbered = 0 if self.last != before else self.unnumbered + len(whole)
        self.too_large = self.unnumbered + len(self.buffer) > MAX_EVENT_BYTES
        return b"" if self.too_large else whole

    def take_whole(self, data):
        """Add `data` to the buffer; remove and return the whole events in it."""
        overlap = len(END_OF_EVENT) - 1
        unseen = max(0, len(self.buffer) - overlap)
        self.buffer += data
        end = self.buffer.rfind(END_OF_EVENT, unseen)
        if end < 0:
            return b""
        end += len(END_OF_EVENT)
        whole = bytes(memoryview(self.buffer)[:end])
        del self.buffer[:end]
        return whole

    def check_order(self, whole):
        """Record the ids of whole events; return False if one is invalid or does not increase."""
        checked = 0
        for field in ID_FIELD.finditer(whole):
            if field.start() < checked:
                # Another id field of the same event, which does not count.
                continue
            checked = whole.index(END_OF_EVENT, field.end())
            number = field[1].strip()
            if not number.isdigit() or len(number) > MAX_ID_DIGITS:
                return False
            if int(number) <= self.last:
                return False
            self.last = int(number)
        return True
