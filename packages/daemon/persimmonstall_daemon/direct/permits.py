"""Permits for requests to endpoints that name a limit, asked of the entry that owns the limit."""

from persimmonstall.direct import permits
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.permits import PermitReply, PermitRequest
from persimmonstall.direct.request_limits import Permit
from persimmonstall.failures import Failure

from ..observe import logs
from .owner_exchange import UNANSWERED, OwnerExchange


class PermitExchange(OwnerExchange):
    """Asks the owners of limits for permits, and grants those of this entry's limits."""

    log_name = "permits"

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
            number = self.next_number()
            request = PermitRequest(self.peers.address, number, *endpoint.lifetime, rate, patience)
            permit = await self.ask(owner, request)
        self.entry.metrics.count("direct_permits", tag="granted" if permit.granted else "denied")
        return permit

    def encode(self, request):
        """Return the datagram that encodes a request for a permit."""
        return permits.encode_request(request)

    def subject(self, request):
        """Return the endpoint that a request is about."""
        return {"endpoint": request.endpoint}

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
        permit = UNANSWERED
        if self.entry.ownership.owns(request.endpoint):
            permit = self.entry.state.request_limits.acquire(
                request.lifetime, request.rate, request.patience, self.entry.now()
            )
        reply = permits.encode_reply(PermitReply(request.number, permit))
        self.peers.send(request.address, reply)
