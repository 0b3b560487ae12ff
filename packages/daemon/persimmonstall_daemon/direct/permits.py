"""Permits for requests to endpoints with a bound, asked of the entry that owns the bound."""

from persimmonstall.direct import permits
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.grants import Permit
from persimmonstall.direct.permits import BoundKind, PermitReply, PermitRequest
from persimmonstall.failures import Failure

from ..observe import logs
from .owner_exchange import UNANSWERED, OwnerExchange


class PermitExchange(OwnerExchange):
    """Asks the owners of bounds for permits, and grants those of the bounds it owns."""

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

    async def acquire_cold(self, endpoint, patience):
        """Return the `Permit` for one request to a cold endpoint.

        An entry that does not hear most others gets none: no share of the bound is certain then.
        """
        ownership = self.entry.ownership
        owner = ownership.owner(endpoint.name)
        if not ownership.hears_most():
            permit = UNANSWERED
        elif owner == self.peers.address:
            permit = self.entry.state.cold.acquire(
                endpoint.lifetime, endpoint.service, patience, self.entry.now()
            )
        else:
            permit = await self.ask(
                owner,
                PermitRequest(
                    self.peers.address,
                    self.next_number(),
                    *endpoint.lifetime,
                    0.0,
                    patience,
                    BoundKind.COLD,
                    endpoint.service,
                ),
            )
        answer = "granted" if permit.granted else "denied"
        self.entry.metrics.count("direct_cold_permits", tag=answer)
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
        """Answer a request; one for a bound that this entry does not own is denied."""
        permit = UNANSWERED
        if self.entry.ownership.owns(request.endpoint):
            permit = self.decide(request)
        reply = permits.encode_reply(PermitReply(request.number, permit))
        self.peers.send(request.address, reply)

    def decide(self, request):
        """Return the `Permit` for a request, as the owner of its bound."""
        state, now = self.entry.state, self.entry.now()
        if request.bound is BoundKind.REQUEST_LIMIT:
            limits = state.request_limits
            return limits.acquire(request.lifetime, request.rate, request.patience, now)
        if not self.entry.ownership.hears_most():
            return UNANSWERED
        return state.cold.acquire(request.lifetime, request.service, request.patience, now)
