"""Trials of blocked contents and parts, one at a time: the entry that owns a key decides."""

from persimmonstall.direct import permits, trials
from persimmonstall.direct.crash_record import RecordKind
from persimmonstall.direct.datagrams import Kind
from persimmonstall.direct.grants import Permit
from persimmonstall.direct.permits import PermitReply
from persimmonstall.direct.trials import TrialRequest
from persimmonstall.failures import Failure

from ..observe import logs
from .owner_exchange import UNANSWERED, OwnerExchange


class TrialExchange(OwnerExchange):
    """Asks the owners of blocked keys whether to try a call, and decides on those it owns."""

    log_name = "trials"

    async def acquire(self, kind, key, at_once=False):
        """Return the `Permit` to try one call with the content or part `key`."""
        owner = self.entry.ownership.owner(key)
        if owner == self.peers.address:
            return self.decide(kind, key, at_once)
        number = self.next_number()
        request = TrialRequest(self.peers.address, number, kind, key, at_once)
        return await self.ask(owner, request)

    def encode(self, request):
        """Return the datagram that encodes a request to try a call."""
        return trials.encode_request(request)

    def subject(self, request):
        """Return the key that a request is about."""
        return {request.kind.value: request.key}

    def decide(self, kind, key, at_once):
        """Return the permit to try a call, as the owner of its key, and record the trial."""
        tracker, now = self.entry.state.crash_tracker, self.entry.now()
        if kind is RecordKind.CONTENT:
            wait = tracker.trial_wait(key, at_once, now)
        else:
            wait = tracker.parts.trial_wait(key, at_once, now)
        if wait is None:
            return UNANSWERED
        if wait == 0.0:
            self.start(kind, key, at_once)
        return Permit(wait == 0.0, wait)

    def start(self, kind, key, at_once):
        """Record that a call is tried."""
        tracker, now = self.entry.state.crash_tracker, self.entry.now()
        if kind is RecordKind.CONTENT:
            tracker.start_trial(key, now)
        else:
            tracker.parts.start_trial(key, at_once, now)

    def on_datagram(self, datagram):
        """Process a request to try a call, or the reply to one."""
        asked = datagram.kind is Kind.TRIAL_REQUEST
        decode = trials.decode_request if asked else permits.decode_reply
        message = decode(datagram.fields)
        if isinstance(message, Failure):
            logs.log_failure(self.log, "trial_unreadable", message)
        elif asked:
            self.grant(message)
        else:
            self.settle(message)

    def grant(self, request):
        """Answer a request; one for a key that this entry does not own is denied."""
        permit = UNANSWERED
        if self.entry.ownership.owns(request.key):
            permit = self.decide(request.kind, request.key, request.at_once)
        reply = permits.encode_reply(PermitReply(request.number, permit), Kind.TRIAL_REPLY)
        self.peers.send(request.address, reply)
