"""Places a request, sends it to an endpoint daemon and relays the answer.

When an attempt is lost, the next one resumes on another endpoint after the tokens that the
caller already has, within the deadline and the retry budget.
"""

import asyncio
import math

import attrs

from persimmonstall.failures import Failure, Outcome, Postponed, Reason, Refusal, refuse
from persimmonstall.messages import requests

from .exchange import LinkDown, LinkUp
from .request import Answer

STEP = "dispatch"
CREDIT_SHARE = 4
"""Credit is sent each time 1/CREDIT_SHARE of the flow control window was consumed."""
RETRY_AFTER_SECONDS = 2.0


@attrs.define
class RequestState:
    """State of one request: its exchange, its current attempt and the endpoints to avoid.

    `peer_run` identifies the process of the endpoint daemon that has the attempt, and
    `answering_attempt` is the attempt that has sent tokens last.  `may_have_run` is set when an
    attempt may have been run.  `credited_tokens` counts the tokens up to the last credit.
    `segments` refer to the parts of a divided prompt.  `version` and `adapter_version` are those
    of the weights that the current attempt uses.
    """

    work: object
    sink: object
    exchange: object
    attempt: int = 0
    endpoint: str = ""
    peer_run: str = ""
    may_have_run: bool = False
    avoided: set = attrs.field(factory=set)
    first_token_at: float = 0.0
    answering_attempt: int = 0
    credited_tokens: int = 0
    segments: tuple = ()
    version: str = ""
    adapter_version: str = ""

    @property
    def tokens(self):
        """The output tokens received so far; all of them went to the caller."""
        return self.exchange.assembly.tokens


class Dispatch:
    """Runs the attempts of each request; `entry` is the `EntryDaemon`."""

    def __init__(self, entry):
        self.entry = entry

    async def run(self, work, sink):
        """Run an admitted request; return its `Answer` or `Refusal`."""
        exchange = self.entry.exchanges.open(work.request_id)
        state = RequestState(work, sink, exchange)
        outcome = None
        is_first_copy = False
        try:
            is_first_copy = not work.service and await self.wait_for_first_copy(state)
            outcome = await self.attempt_until_done(state)
            return outcome
        finally:
            if is_first_copy:
                self.entry.first_copy_gate.record_end(work.fingerprint)
            self.entry.exchanges.close(exchange)
            if not isinstance(outcome, Answer):
                self.cancel(state)

    async def wait_for_first_copy(self, state):
        """Wait while another request runs the same content, which is not yet known as harmless.

        Return whether this request leads, so that others wait for it.
        """
        return await self.entry.first_copy_gate.wait_or_lead(
            state.work.fingerprint, self.remaining(state)
        )

    async def attempt_until_done(self, state):
        """Make attempts until the request is answered or must be refused."""
        while True:
            placed = self.entry.place(state.work, state.avoided)
            if isinstance(placed, Postponed) and placed.delay < self.remaining(state):
                await asyncio.sleep(self.entry.context.jitter(placed.delay))
                continue
            if not placed:
                return self.refuse(state, placed)
            sent = self.submit(state, placed)
            result = await self.relay(state, placed) if sent else self.peer_lost(state, "no link")
            if sent:
                self.record_presumed_crash(state, result)
            self.entry.on_attempt_end(state.work, state.endpoint, result)
            delay = self.delay_before_next(state, result)
            if delay is None:
                return result if isinstance(result, Answer) else self.refuse(state, result)
            state.avoided.add(state.endpoint)
            await asyncio.sleep(delay)
            renewed = await self.renew_claim(state, result)
            if renewed is not None:
                return renewed

    def record_presumed_crash(self, state, result):
        """Record a presumed crash if the daemon was lost with a model attempt in flight."""
        lost = isinstance(result, Failure) and result.reason is Reason.PEER_LOST
        if lost and not state.work.service:
            offset = len(state.tokens)
            self.entry.quarantine_filter.record_lost_connection(
                state.work, state.endpoint, state.peer_run, state.attempt, offset
            )

    async def renew_claim(self, state, result):
        """Ensure, before a retry of non-idempotent work, that its last attempt cannot start.

        Return None if the work may be retried.  If that attempt may have run, it may not; then
        return the `Answer` or `Refusal` that ends the request.
        """
        if state.work.idempotent:
            return None
        renewed = await self.entry.claims.renew(state.work, self.refuse(state, result))
        if isinstance(renewed, Answer | Refusal):
            return renewed
        state.work = renewed
        state.may_have_run = False
        return None

    def remaining(self, state):
        """Return the seconds left before the deadline."""
        return state.work.deadline - self.entry.context.now()

    def submit(self, state, placed):
        """Send the next attempt to its endpoint; return False if there is no link."""
        state.attempt += 1
        state.endpoint = placed.endpoint
        state.exchange.assembly.begin(state.attempt)
        state.credited_tokens = len(state.tokens)
        link = self.entry.links.link_to(placed.endpoint)
        if link is None or not link.ready:
            return False
        state.exchange.instance = link.name
        state.peer_run = link.run_id
        self.record_attempt(state, placed)
        return link.send(self.submit_message(state, placed))

    def record_attempt(self, state, placed):
        """Record an attempt at its endpoint."""
        self.entry.on_submit(state.work, placed)

    def submit_message(self, state, placed):
        """Return the `Submit` message of the current attempt."""
        work = state.work
        return requests.Submit(
            request_id=work.request_id,
            attempt=state.attempt,
            endpoint=placed.endpoint,
            organisation=work.organisation,
            prompt=work.prompt,
            remaining=self.remaining(state),
            model=work.model,
            adapter=work.adapter,
            prompt_tokens=work.prompt_tokens,
            max_tokens=work.max_tokens,
            predicted_tokens=work.predicted_tokens,
            priority=placed.priority,
            length_class=work.length_class,
            blocks=work.blocks,
            fingerprint=work.fingerprint,
            service=work.service,
            method=work.method,
            content_type=work.content_type,
            idempotent=work.idempotent,
            ticket=work.ticket,
            suspect=self.entry.quarantine_filter.is_suspect(work),
            relayed=tuple(state.tokens),
            segments=state.segments,
            version=state.version if state.tokens else "",
            adapter_version=state.adapter_version if state.tokens else "",
        )

    async def relay(self, state, placed=None):
        """Relay one attempt; return its `Answer`, or the `Refused` or `Failure` that ended it.

        There is no first token timeout if `placed` is None.
        """
        timeout = self.entry.first_token_timeout(state.work, placed) if placed else math.inf
        try:
            # One timer for the whole attempt: a timer for each token costs as much as the token.
            async with asyncio.timeout(max(0.0, self.remaining(state))):
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
        """Write new tokens to the caller and send flow control credit to the endpoint daemon."""
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
        have = len(state.tokens)
        window = self.entry.settings.callers.idle_credit
        if have - state.credited_tokens >= window // CREDIT_SHARE:
            state.credited_tokens = have
            self.send(state, requests.Credit(state.work.request_id, state.attempt, have))
        return None

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
        link = self.entry.links.link_to(state.endpoint)
        return link is not None and link.send(message)

    def attach(self, state):
        """Ask for the output after the last token received; return a failure without a link."""
        have = len(state.tokens)
        message = requests.Attach(
            state.work.request_id, state.attempt, have, self.remaining(state)
        )
        state.credited_tokens = have
        return None if self.send(state, message) else self.peer_lost(state, "no link to attach")

    async def reattach(self, state):
        """Wait for a new link to the same daemon and attach to the attempt again."""
        timeout = min(self.entry.settings.links.silence, self.remaining(state))
        give_up_at = self.entry.context.now() + timeout
        link = self.entry.links.link_to(state.endpoint)
        if link is not None and link.ready:
            return self.attach_to(state, link.run_id)
        while True:
            message = await state.exchange.next(give_up_at - self.entry.context.now())
            if message is None:
                return self.peer_lost(state, "no new link in time")
            if isinstance(message, LinkUp):
                return self.attach_to(state, message.run)

    def attach_to(self, state, peer_run):
        """Attach over a new link, unless the daemon has been restarted."""
        if peer_run != state.peer_run:
            return self.peer_lost(state, "the daemon was restarted")
        return self.attach(state)

    def peer_lost(self, state, detail):
        """Return the failure of an attempt whose daemon is unreachable."""
        return Failure(Reason.PEER_LOST, STEP, state.endpoint, detail)

    def delay_before_next(self, state, result):
        """Return the seconds to wait before a retry after `result`, or None for no retry."""
        if isinstance(result, Answer):
            return None
        reason = Reason(result.reason)
        if reason in (Reason.DEADLINE, Reason.CANCELLED) or self.remaining(state) <= 0:
            return None
        not_run = getattr(result, "outcome", Outcome.UNKNOWN) == Outcome.NOT_RUN
        not_run = not_run or result.detail == "no link"
        state.may_have_run = state.may_have_run or not not_run
        if not state.work.idempotent and state.tokens:
            return None
        if state.attempt >= self.entry.settings.placing.attempts:
            return None
        return self.entry.retry_delay(state.work, reason, state.attempt)

    def refuse(self, state, result):
        """Return the final `Refusal` of a request whose last attempt or placement failed.

        The outcome is "unknown" if any attempt may have been run.
        """
        reason = Reason(result.reason)
        outcome = getattr(result, "outcome", Outcome.NOT_RUN)
        if isinstance(result, Failure) and not isinstance(result, Refusal) and state.attempt:
            outcome = Outcome.UNKNOWN if result.detail != "no link" else Outcome.NOT_RUN
        if state.may_have_run or state.tokens:
            outcome = Outcome.UNKNOWN
        retry_after = getattr(result, "retry_after", 0) or RETRY_AFTER_SECONDS
        if reason is Reason.QUARANTINED:
            retry_after = None
        failure = Failure(reason, result.step, result.peer, result.detail)
        return refuse(failure, retry_after, Outcome(outcome), state.work.key)

    def cancel(self, state):
        """Cancel the last attempt at its daemon."""
        if state.attempt and state.endpoint:
            self.send(state, requests.Cancel(state.work.request_id, state.attempt))
