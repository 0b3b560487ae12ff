"""Relays the output of one attempt from its endpoint daemon to the caller."""

import asyncio
import math

from persimmonstall.failures import Failure, Reason
from persimmonstall.messages import requests

from .exchange import LinkDown, LinkUp
from .request import Answer

STEP = "dispatch"

NO_LINK = "no link"
"""Detail of the failure of an attempt that was not sent because there is no link."""

CREDIT_SHARE = 4
"""Credit is sent each time 1/CREDIT_SHARE of the flow control window was consumed."""


def peer_lost(state, detail):
    """Return the failure of an attempt whose daemon is unreachable."""
    return Failure(Reason.PEER_LOST, STEP, state.endpoint, detail)


class Relay:
    """Relays attempts of the requests of `entry`, an `EntryDaemon`."""

    def __init__(self, entry):
        self.entry = entry

    async def run(self, state, placed=None):
        """Relay one attempt; return its `Answer`, or the `Refused` or `Failure` that ended it.

        There is no first token timeout if `placed` is None.
        """
        timeout = self.entry.first_token_timeout(state.work, placed) if placed else math.inf
        try:
            # One timer for the whole attempt: a timer for each token costs as much as the token.
            async with asyncio.timeout(max(0.0, self.entry.remaining(state.work))):
                result = await self.relay_first(state, timeout)
                return result if result is not None else await self.relay_rest(state)
        except TimeoutError:
            return Failure(Reason.DEADLINE, STEP, state.endpoint, "no complete answer in time")

    async def relay_first(self, state, timeout):
        """Relay up to the first token; return the result if the attempt ended, else None.

        If nothing arrives within `timeout` seconds, the attempt is cancelled if the request may
        be retried elsewhere; otherwise the first token is awaited until the deadline.
        """
        message = None
        while not isinstance(message, requests.Chunk):
            message = await state.exchange.next(timeout)
            if message is None and self.entry.may_retry_late(state.work, state.endpoint):
                self.cancel(state)
                return Failure(Reason.BUSY, STEP, state.endpoint, "first token timeout")
            if message is None:
                return None
            result = await self.handle_message(state, message)
            if result is not None:
                return result
        return None

    async def relay_rest(self, state):
        """Relay the rest of the attempt and return its result."""
        result = None
        while result is None:
            result = await self.handle_message(state, await state.exchange.mailbox.get())
        return result

    async def handle_message(self, state, message):
        """Handle one message; return a result if it ends the attempt."""
        assembly = state.exchange.assembly
        if isinstance(message, requests.Chunk):
            return await self.relay_tokens(state, assembly.accept(message))
        if isinstance(message, requests.End):
            return self.handle_end(state, message)
        if isinstance(message, requests.Started) and assembly.is_current(message):
            state.version = message.version
            state.adapter_version = message.adapter_version
            return None
        if isinstance(message, requests.Refused):
            return message if assembly.is_current(message) else None
        if isinstance(message, LinkDown) and message.instance == state.exchange.instance:
            return await self.reattach(state)
        return None

    async def relay_tokens(self, state, new_tokens):
        """Write new tokens to the caller; return a failure if the attempt is lost."""
        if isinstance(new_tokens, Failure):
            return self.attach(state)
        if not new_tokens:
            return None
        if state.answering_attempt != state.attempt:
            state.answering_attempt = state.attempt
            self.entry.on_first_token(state.work, state.endpoint)
        if not state.first_token_at:
            state.first_token_at = self.entry.context.now()
        await state.sink.write(new_tokens)
        self.send_credit(state)
        return None

    def send_credit(self, state):
        """Send flow control credit once enough tokens were consumed since the last."""
        have = len(state.tokens)
        window = self.entry.settings.callers.idle_credit
        if have - state.credited_tokens >= window // CREDIT_SHARE:
            state.credited_tokens = have
            self.send(state, requests.Credit(state.work.request_id, state.attempt, have))

    def handle_end(self, state, end):
        """Return the `Answer` if all tokens were received; attach again if some are missing."""
        complete = state.exchange.assembly.finish(end)
        if isinstance(complete, Failure):
            return self.attach(state)
        if not complete:
            return None
        self.entry.invariants.check(
            "answer_whole", end.count == len(state.tokens), state.work.request_id
        )
        return Answer(
            count=end.count,
            finish=end.finish,
            first_token_at=state.first_token_at,
            ended_at=self.entry.context.now(),
            attempts=state.attempt,
            endpoint=state.endpoint,
            cached=end.cached,
            status=end.status or 200,
            body=end.body,
            content_type=end.content_type,
            tokens=tuple(state.tokens),
        )

    def send(self, state, message):
        """Send a message to the daemon of the current attempt; return False without a link."""
        return self.entry.links.send(state.endpoint, message)

    def cancel(self, state):
        """Cancel the last attempt, if there is one, at its daemon."""
        if state.attempt and state.endpoint:
            self.send(state, requests.Cancel(state.work.request_id, state.attempt))

    def attach(self, state):
        """Ask for the output after the last token received; return a failure without a link."""
        have = len(state.tokens)
        left = self.entry.remaining(state.work)
        message = requests.Attach(state.work.request_id, state.attempt, have, left)
        state.credited_tokens = have
        return None if self.send(state, message) else peer_lost(state, "no link to attach")

    async def reattach(self, state):
        """Wait for a new link to the same daemon and attach to the attempt again."""
        timeout = min(self.entry.settings.links.silence, self.entry.remaining(state.work))
        give_up_at = self.entry.context.now() + timeout
        link = self.entry.links.link_to(state.endpoint)
        if link is not None and link.ready:
            return self.attach_to(state, link.run_id)
        while True:
            message = await state.exchange.next(give_up_at - self.entry.context.now())
            if message is None:
                return peer_lost(state, "no new link in time")
            if isinstance(message, LinkUp):
                return self.attach_to(state, message.run)

    def attach_to(self, state, peer_run):
        """Attach over a new link, unless the daemon has been restarted."""
        if peer_run != state.peer_run:
            return peer_lost(state, "the daemon was restarted")
        return self.attach(state)
