"""Reads the body of a request within the limits and the memory of the entry."""

from aiohttp import http

from persimmonstall.direct.messages import DroppedBody
from persimmonstall.failures import Failure, Postponed, Reason

from .held_body import BodyBuffer

STEP = "read"

MAX_BODY_BYTES = 1 << 24
"""Largest body of a request if the configuration has no limit."""

GROWTH_BYTES = 65_536
"""Bytes that are reserved at once for a body whose length is not announced."""


def no_room(entry, what):
    """Return the failure of a request for which there is no memory; it has not run."""
    detail = f"no memory for {what}"
    return Postponed(Reason.OVERLOADED, STEP, "", detail, entry.memory.retry_after())


class BodyReader:
    """Reads the body of one request; `limits` are those of the configuration.

    `reserved` are the bytes reserved for it, `size` those that arrived, and `kept` those of them
    that are held.
    """

    def __init__(self, entry, request, limits):
        self.entry = entry
        self.memory = entry.memory
        self.request = request
        self.connection = request.protocol
        self.limits = limits
        self.limit = limits.body_bytes or MAX_BODY_BYTES
        self.reserved = 0
        self.size = 0
        self.kept = 0

    async def read(self, keep):
        """Return the body, a `DroppedBody` if it is not to be kept, or a `Failure`."""
        announced = self.request.content_length or 0
        if announced > self.limit:
            return self.too_large(announced)
        body = BodyBuffer(announced or self.limit) if keep else None
        try:
            if keep and not await self.reserve(announced):
                return no_room(self.entry, f"a body of {announced} bytes")
            self.connection.stored = body
            failure = await self.receive(body)
        finally:
            self.memory.unfilled -= self.reserved - self.kept
        if failure is not None:
            return failure
        if not keep:
            return DroppedBody(self.size) if self.size else b""
        self.connection.give_back(self.reserved - self.size)
        return body.content()

    def too_large(self, size):
        """Return the failure of a body above the limit."""
        return Failure(Reason.BODY_TOO_LARGE, STEP, detail=f"{size} bytes or more")

    async def reserve(self, size):
        """Reserve `size` more bytes; return whether there was room."""
        if not await self.connection.take(size):
            return False
        self.reserved += size
        self.memory.unfilled += size
        self.connection.fill(self.reserved - self.kept)
        return not self.connection.denied

    async def receive(self, body):
        """Read the body into `body`, or discard it if that is None; return a `Failure` or None."""
        deadline = self.entry.now() + self.limits.idle_timeout
        try:
            with self.connection.revocable() as revocation:
                async with self.entry.time_limits.until(deadline), revocation:
                    return await self.receive_pieces(body)
            return no_room(self.entry, "a body that arrives too slowly")
        except TimeoutError:
            reason = Reason.LEAVING if deadline > self.entry.exits_at else Reason.BODY_TOO_SLOW
            return Failure(reason, STEP, detail="body incomplete at the timeout")
        except (http.HttpProcessingError, ValueError) as error:
            return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))

    async def receive_pieces(self, body):
        """Read until the end of the body; return None, or a `Failure` if it is too large."""
        while data := await self.request.content.readany():
            if self.size + len(data) > self.limit:
                return self.too_large(self.size + len(data))
            missing = self.size + len(data) - self.reserved
            short = body is not None and missing > 0
            if short and not await self.reserve(max(missing, GROWTH_BYTES)):
                return no_room(self.entry, "a body of unknown length")
            self.size += len(data)
            if body is not None:
                body.add(data)
                self.kept = self.size
                self.memory.unfilled -= len(data)
            self.connection.fill(self.reserved - self.kept)
        return None
