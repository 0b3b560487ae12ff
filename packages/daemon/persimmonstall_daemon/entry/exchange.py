"""Mailboxes that bring frames from the links to the request they are for."""

import asyncio
import math

import attrs

from persimmonstall.streams.assembly import Assembly


@attrs.frozen
class LinkDown:
    """The link to an endpoint daemon is gone."""

    instance: str


@attrs.frozen
class LinkUp:
    """A new link to an endpoint daemon is open; `run` identifies its process."""

    instance: str
    run: str


class Exchange:
    """One request's mailbox and the answer collected so far."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.assembly = Assembly(request_id)
        self.mailbox = asyncio.Queue()
        self.instance = ""

    def post(self, message):
        """Put a message into the mailbox."""
        self.mailbox.put_nowait(message)

    async def next(self, seconds):
        """Return the next message, or None when none comes within `seconds`."""
        if not self.mailbox.empty():
            return self.mailbox.get_nowait()
        if seconds <= 0:
            return None
        try:
            async with asyncio.timeout(None if seconds == math.inf else seconds):
                return await self.mailbox.get()
        except TimeoutError:
            return None


class Exchanges:
    """All open exchanges by request id."""

    def __init__(self, metrics):
        self.metrics = metrics
        self.open_ones = {}

    def open(self, request_id):
        """Open the mailbox of a request."""
        exchange = Exchange(request_id)
        self.open_ones[request_id] = exchange
        return exchange

    def close(self, exchange):
        """Close a mailbox; frames that come later are dropped and counted."""
        self.open_ones.pop(exchange.request_id, None)

    def deliver(self, message):
        """Bring a frame to its request."""
        exchange = self.open_ones.get(message.request_id)
        if exchange is None:
            self.metrics.count("frames_dropped", tag="no_request")
            return
        exchange.post(message)

    def announce(self, message):
        """Tell the requests that run at an instance about its link."""
        for exchange in self.open_ones.values():
            if exchange.instance == message.instance:
                exchange.post(message)
