"""Permits for requests to endpoints that name a limit, asked of the entry that owns the limit."""

import asyncio

from persimmonstall.direct import permits
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.permits import PermitReply, PermitRequest
from persimmonstall.direct.request_limits import Permit
from persimmonstall.failures import Failure

from ..observe import logs

REPLY_SECONDS = 0.1
"""Timeout of the owner's reply to a request for a permit."""

RETRY_SECONDS = 0.25
"""Time after which another request may be granted if the owner did not reply."""


class PermitExchange:
    """Asks the owners of limits for permits, and grants those of this entry's limits."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.log = logs.get("permits")
        self.last_number = 0
        self.replies = {}

    async def acquire(self, endpoint, patience):
        """Return the `Permit` for one request to an endpoint that names a limit."""
        limits = self.entry.state.request_limits
        rate = limits.rate(endpoint.lifetime)
        if rate is None:
            return Permit(True, 0.0)
        owner = self.entry.ownership.owner(endpoint.name)
        if owner == self.peers.address:
            permit = limits.acquire(endpoint.lifetime, rate, patience, self.entry.now())
        else:
            self.last_number += 1
            request = PermitRequest(
                self.peers.address, self.last_number, *endpoint.lifetime, rate, patience
            )
            permit = await self.ask(owner, request)
        self.entry.metrics.count("direct_permits", tag="granted" if permit.granted else "denied")
        return permit

    async def ask(self, owner, request):
        """Ask the owner of a limit for a permit; no reply counts as a denial."""
        reply = asyncio.get_running_loop().create_future()
        self.replies[request.number] = reply
        self.peers.send(owner, permits.encode_request(request))
        try:
            # asyncio.wait_for would swallow a cancellation that comes with the reply.
            async with asyncio.timeout(REPLY_SECONDS):
                return await reply
        except TimeoutError:
            self.log.warning("permit_unanswered", endpoint=request.endpoint, peer=owner)
            return Permit(False, RETRY_SECONDS)
        finally:
            del self.replies[request.number]

    def on_datagram(self, datagram):
        """Process a request for a permit, or the reply to one."""
        decode = (
            permits.decode_request
            if datagram.kind is Kind.PERMIT_REQUEST
            else permits.decode_reply
        )
        message = decode(datagram.fields)
        if isinstance(message, Failure):
            logs.log_failure(self.log, "permit_unreadable", message)
        elif isinstance(message, PermitRequest):
            self.grant(message)
        else:
            self.settle(message)

    def grant(self, request):
        """Answer a request; one for a limit that this entry does not own is denied."""
        if self.entry.ownership.owns(request.endpoint):
            permit = self.entry.state.request_limits.acquire(
                request.lifetime, request.rate, request.patience, self.entry.now()
            )
        else:
            permit = Permit(False, RETRY_SECONDS)
        reply = permits.encode_reply(PermitReply(request.number, permit))
        self.peers.send(request.address, reply)

    def settle(self, reply):
        """Pass a reply to the call that waits for it; a late one is dropped."""
        waiting = self.replies.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.permit)
