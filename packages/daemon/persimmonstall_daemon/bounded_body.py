"""Reads the bodies of a peer's answers, up to a number of bytes."""

from .bounded_http import AnswerRejected, ConnectionBroken
from .observe import logs

LOG = logs.get("bounded_http")


async def read_body(response, limit):
    """Return the complete body of a response; raise `ConnectionBroken` if it was cut off.

    Raise `AnswerRejected` and close the connection if it has more than `limit` bytes.
    """
    body = bytearray()
    check_size(response, response.content_length or 0, limit)
    while data := await response.content.readany():
        body += data
        check_size(response, len(body), limit)
    if response.cut_off:
        raise ConnectionBroken(response.cut_off)
    return bytes(body)


class LineReader:
    """Reads the lines of a response's body; a line has at most `limit` bytes."""

    def __init__(self, response, limit):
        self.response = response
        self.limit = limit
        self.buffer = bytearray()

    async def read(self):
        """Return the next line with its end, or what is left at the end of the body.

        Raise `AnswerRejected` and close the connection if a line is too long.
        """
        unseen = 0
        while (end := self.buffer.find(b"\n", unseen)) < 0:
            unseen = len(self.buffer)
            check_size(self.response, unseen, self.limit)
            data = await self.response.content.readany()
            if not data:
                end = unseen
                break
            self.buffer += data
        line = bytes(memoryview(self.buffer)[: end + 1])
        del self.buffer[: end + 1]
        return line


def check_size(response, size, limit):
    """Close the connection and raise `AnswerRejected` if `size` exceeds `limit` (bytes)."""
    if size <= limit:
        return
    response.close()
    detail = f"{size} bytes or more, the limit is {limit}"
    LOG.warning("answer_rejected", reason="endpoint_error", detail=detail, peer=str(response.url))
    raise AnswerRejected(detail)
