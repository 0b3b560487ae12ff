"""Asks the entry that owns a key for a `Permit`, by datagrams."""

import abc
import asyncio

from persimmonstall.direct.grants import Permit

from ..observe import logs

REPLY_SECONDS = 0.1
"""Timeout of the owner's reply."""

RETRY_SECONDS = 0.25
"""Time after which another request may be granted if the owner did not reply."""

UNANSWERED = Permit(False, RETRY_SECONDS)
"""What no reply, or a request to an entry that is not the owner, counts as."""


class OwnerExchange(abc.ABC):
    """The requests of this entry that wait for replies; `log_name` is that of its log."""

    log_name = ""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.log = logs.get(self.log_name)
        self.last_number = 0
        self.replies = {}

    def next_number(self):
        """Return the number of the next request."""
        self.last_number += 1
        return self.last_number

    @abc.abstractmethod
    def encode(self, request):
        """Return the datagram that encodes a request."""

    @abc.abstractmethod
    def subject(self, request):
        """Return what a request is about, as keys of a log line."""

    async def ask(self, owner, request):
        """Return the owner's reply to a request; no reply counts as a denial."""
        reply = asyncio.get_running_loop().create_future()
        self.replies[request.number] = reply
        self.peers.send(owner, self.encode(request))
        try:
            # asyncio.wait_for would swallow a cancellation that comes with the reply.
            async with asyncio.timeout(REPLY_SECONDS):
                return await reply
        except TimeoutError:
            self.log.warning("permit_unanswered", peer=owner, **self.subject(request))
            return UNANSWERED
        finally:
            del self.replies[request.number]

    def settle(self, reply):
        """Pass a reply to the call that waits for it; a late one is dropped."""
        waiting = self.replies.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.permit)
