"""Splits a server-sent event stream into whole events and checks the order of their ids."""

import attrs

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


@attrs.define
class EventReader:
    r"""Splits a byte stream into whole events without changing the bytes.

    `last` is the id of the last whole event, -1 before the first.

    >>> reader = EventReader()
    >>> reader.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    b'id: 0\ndata: a\n\n'
    >>> reader.last, reader.partial
    (0, True)
    """

    last: int = -1
    remainder: bytes = b""
    out_of_order: bool = False

    @property
    def partial(self):
        """Whether the start of an incomplete event is buffered."""
        return bool(self.remainder)

    def feed(self, data):
        """Return the events that `data` completes, byte for byte.

        An event whose id is not greater than the last one sets `out_of_order`; after that nothing
        is returned.
        """
        buffer = self.remainder + data
        end = buffer.rfind(END_OF_EVENT)
        if self.out_of_order or end < 0:
            self.remainder = buffer
            return b""
        whole, self.remainder = buffer[: end + 2], buffer[end + 2 :]
        for event in whole.split(END_OF_EVENT)[:-1]:
            if not self.check_order(event):
                self.out_of_order = True
                return b""
        return whole

    def check_order(self, event):
        """Record the id of an event; return False if it is invalid or does not increase."""
        for line in event.split(b"\n"):
            if line.startswith(ID_FIELD):
                number = line[len(ID_FIELD) :].strip()
                if not number.isdigit():
                    return False
                increases = int(number) > self.last
                self.last = int(number)
                return increases
        return True
