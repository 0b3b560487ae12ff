"""Delivers the messages that arrive on links to the request they belong to."""

import asyncio
import math

import attrs

from persimmonstall.streams.assembly import Assembly


@attrs.frozen
class LinkDown:
    """The link to an endpoint daemon was lost."""

    instance: str


@attrs.frozen
class LinkUp:
    """A new link to an endpoint daemon is open; `run` identifies the daemon process."""

    instance: str
    run: str


class Exchange:
    """The message queue of one request and the part of its answer received so far.

    `instance` names the endpoint daemon that has the current attempt.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.assembly = Assembly(request_id)
        self.mailbox = asyncio.Queue()
        self.instance = ""

    def post(self, message):
        """Queue a message for the request."""
        self.mailbox.put_nowait(message)

    async def next(self, seconds):
        """Return the next message, or None if none arrives within `seconds`."""
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
    """The open exchanges by request id."""

    def __init__(self, metrics):
        self.metrics = metrics
        self.by_request = {}

    def open(self, request_id):
        """Open an exchange for a request."""
        exchange = Exchange(request_id)
        self.by_request[request_id] = exchange
        return exchange

    def close(self, exchange):
        """Close an exchange; messages that arrive later are dropped and counted."""
        self.by_request.pop(exchange.request_id, None)

    def deliver(self, message):
        """Queue a message for the request it belongs to."""
        exchange = self.by_request.get(message.request_id)
        if exchange is None:
            self.metrics.count("frames_dropped", tag="no_request")
            return
        exchange.post(message)

    def notify_link_change(self, message):
        """Notify the requests that run on an instance of a change of its link."""
        for exchange in self.by_request.values():
            if exchange.instance == message.instance:
                exchange.post(message)
