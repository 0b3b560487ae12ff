"""Whole events of an event stream, and whether they follow on each other."""

import attrs

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


@attrs.define
class EventReader:
    r"""Cuts a byte stream into whole events; the bytes are not changed.

    `last` is the id of the last whole event, -1 before the first.

    >>> reader = EventReader()
    >>> reader.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    b'id: 0\ndata: a\n\n'
    >>> reader.last, reader.partial
    (0, True)
    """

    last: int = -1
    rest: bytes = b""
    out_of_order: bool = False

    @property
    def partial(self):
        """Whether an event has begun that is not whole."""
        return bool(self.rest)

    def feed(self, data):
        """Return the whole events that `data` completes, as they were sent.

        An event whose id does not grow sets `out_of_order`, and nothing more is returned.
        """
        buffer = self.rest + data
        end = buffer.rfind(END_OF_EVENT)
        if self.out_of_order or end < 0:
            self.rest = buffer
            return b""
        whole, self.rest = buffer[: end + 2], buffer[end + 2 :]
        for event in whole.split(END_OF_EVENT)[:-1]:
            if not self.accept(event):
                self.out_of_order = True
                return b""
        return whole

    def accept(self, event):
        """Note an event's id; False when it does not follow."""
        for line in event.split(b"\n"):
            if line.startswith(ID_FIELD):
                number = line[len(ID_FIELD) :].strip()
                if not number.isdigit():
                    return False
                follows = int(number) > self.last
                self.last = int(number)
                return follows
        return True
