"""Places a request, sends it to an endpoint daemon and relays the answer.

An attempt that is lost is resumed on another endpoint from the tokens that the caller
already has, within the deadline and the retry budget.
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
"""A credit is sent each time this part of the window was consumed."""
RETRY_AFTER_SECONDS = 2.0


@attrs.define
class Run:
    """One request on its way: its exchange, the current attempt and what was tried.

    `segments` refer to the parts of a prompt that is larger than an engine.  `version` and
    `adapter_version` are those of the weights that the current attempt runs on.
    """

    work: object
    sink: object
    exchange: object
    attempt: int = 0
    endpoint: str = ""
    peer_run: str = ""
    handed_over: bool = False
    avoided: set = attrs.field(factory=set)
    first_token_at: float = 0.0
    answering: int = 0
    credited: int = 0
    segments: tuple = ()
    version: str = ""
    adapter_version: str = ""

    @property
    def tokens(self):
        """The output tokens that the caller already has."""
        return self.exchange.assembly.tokens


class Dispatch:
    """Runs the attempts of requests; `entry` supplies placement, links and clock."""

    def __init__(self, entry):
        self.entry = entry

    async def run(self, work, sink):
        """Return the `Answer` or `Refusal` of one admitted request."""
        exchange = self.entry.exchanges.open(work.request_id)
        run = Run(work, sink, exchange)
        outcome = None
        leads = False
        try:
            leads = not work.service and await self.lead(run)
            outcome = await self.attempt_until_done(run)
            return outcome
        finally:
            if leads:
                self.entry.first_copy_gate.record_end(work.fingerprint)
            self.entry.exchanges.close(exchange)
            if not isinstance(outcome, Answer):
                self.cancel(run)

    async def lead(self, run):
        """Wait while another copy of the same new content goes first; return whether it leads."""
        return await self.entry.first_copy_gate.wait_or_lead(
            run.work.fingerprint, self.remaining(run)
        )

    async def attempt_until_done(self, run):
        """Attempt the request until it has an answer or must be refused."""
        while True:
            placed = self.entry.place(run.work, run.avoided)
            if isinstance(placed, Postponed) and placed.delay < self.remaining(run):
                await asyncio.sleep(self.entry.context.jitter(placed.delay))
                continue
            if not placed:
                return self.refuse(run, placed)
            sent = self.submit(run, placed)
            result = await self.relay(run, placed) if sent else self.lost(run, "no link")
            if sent:
                self.note_loss(run, result)
            self.entry.on_attempt_end(run.work, run.endpoint, result)
            delay = self.delay_before_next(run, result)
            if delay is None:
                return result if isinstance(result, Answer) else self.refuse(run, result)
            run.avoided.add(run.endpoint)
            await asyncio.sleep(delay)
            renewed = await self.renew_claim(run, result)
            if renewed is not None:
                return renewed

    def note_loss(self, run, result):
        """Presume a crash when the daemon was lost with an attempt for a model in flight."""
        lost = isinstance(result, Failure) and result.reason is Reason.PEER_LOST
        if lost and not run.work.service:
            offset = len(run.tokens)
            self.entry.suspects.record_lost_connection(
                run.work, run.endpoint, run.peer_run, run.attempt, offset
            )

    async def renew_claim(self, run, result):
        """Make sure that non-idempotent work was not run, before it is attempted again.

        Return None when it may be, else the `Answer` or `Refusal` that ends the request.
        """
        if run.work.idempotent:
            return None
        renewed = await self.entry.claims.renew(run.work, self.refuse(run, result))
        if isinstance(renewed, Answer | Refusal):
            return renewed
        run.work = renewed
        run.handed_over = False
        return None

    def remaining(self, run):
        """Return the seconds left before the deadline."""
        return run.work.deadline - self.entry.context.now()

    def submit(self, run, placed):
        """Send the next attempt to the endpoint it was placed on; False without a link."""
        run.attempt += 1
        run.endpoint = placed.endpoint
        run.exchange.assembly.begin(run.attempt)
        run.credited = len(run.tokens)
        link = self.entry.links.of(placed.endpoint)
        if link is None or not link.ready:
            return False
        run.exchange.instance = link.name
        run.peer_run = link.run_id
        self.count(run, placed)
        return link.send(self.submit_of(run, placed))

    def count(self, run, placed):
        """Count an attempt on the endpoint where it was placed."""
        self.entry.on_submit(run.work, placed)

    def submit_of(self, run, placed):
        """Return the message that hands an attempt over."""
        work = run.work
        return requests.Submit(
            request_id=work.request_id,
            attempt=run.attempt,
            endpoint=placed.endpoint,
            organisation=work.organisation,
            prompt=work.prompt,
            remaining=self.remaining(run),
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
            suspect=self.entry.suspects.is_suspect(work),
            relayed=tuple(run.tokens),
            segments=run.segments,
            version=run.version if run.tokens else "",
            adapter_version=run.adapter_version if run.tokens else "",
        )

    async def relay(self, run, placed=None):
        """Relay one attempt: an `Answer`, or the `Refused` or `Failure` that ended it."""
        patience = self.entry.first_token_timeout(run.work, placed) if placed else math.inf
        try:
            # One timer for the whole attempt: a timer for each token costs as much as the token.
            async with asyncio.timeout(max(0.0, self.remaining(run))):
                result = await self.relay_first(run, patience)
                return result if result is not None else await self.relay_rest(run)
        except TimeoutError:
            return Failure(Reason.DEADLINE, STEP, run.endpoint, "no whole answer in time")

    async def relay_first(self, run, patience):
        """Relay up to the first token; a result ends the attempt, also when it is late."""
        message = None
        while not isinstance(message, requests.Chunk):
            message = await run.exchange.next(patience)
            if message is None and self.entry.may_retry_late(run.work, run.endpoint):
                self.cancel(run)
                return Failure(Reason.BUSY, STEP, run.endpoint, "the first token is late")
            if message is None:
                return None
            result = await self.take(run, message)
            if result is not None:
                return result
        return None

    async def relay_rest(self, run):
        """Relay until something ends the attempt."""
        result = None
        while result is None:
            result = await self.take(run, await run.exchange.mailbox.get())
        return result

    async def take(self, run, message):
        """Handle one message of an attempt; a result ends the attempt."""
        assembly = run.exchange.assembly
        if isinstance(message, requests.Chunk):
            return await self.take_tokens(run, assembly.accept(message))
        if isinstance(message, requests.End):
            return self.take_end(run, message)
        if isinstance(message, requests.Started) and assembly.is_current(message):
            run.version = message.version
            run.adapter_version = message.adapter_version
            return None
        if isinstance(message, requests.Refused):
            return message if assembly.is_current(message) else None
        if isinstance(message, LinkDown) and message.instance == run.exchange.instance:
            return await self.reattach(run)
        return None

    async def take_tokens(self, run, fresh):
        """Give new tokens to the caller, and credit to the sender."""
        if isinstance(fresh, Failure):
            return self.attach(run)
        if not fresh:
            return None
        if run.answering != run.attempt:
            run.answering = run.attempt
            self.entry.on_first_token(run.work, run.endpoint)
        if not run.first_token_at:
            run.first_token_at = self.entry.context.now()
        await run.sink.write(fresh)
        have = len(run.tokens)
        window = self.entry.settings.callers.idle_credit
        if have - run.credited >= window // CREDIT_SHARE:
            run.credited = have
            self.send(run, requests.Credit(run.work.request_id, run.attempt, have))
        return None

    def take_end(self, run, end):
        """Return the whole answer once its end mark matches what was relayed."""
        whole = run.exchange.assembly.finish(end)
        if isinstance(whole, Failure):
            return self.attach(run)
        if not whole:
            return None
        self.entry.invariants.check(
            "answer_whole", end.count == len(run.tokens), run.work.request_id
        )
        return Answer(
            count=end.count,
            finish=end.finish,
            first_token_at=run.first_token_at,
            ended_at=self.entry.context.now(),
            attempts=run.attempt,
            endpoint=run.endpoint,
            cached=end.cached,
            status=end.status or 200,
            body=end.body,
            content_type=end.content_type,
            tokens=tuple(run.tokens),
        )

    def send(self, run, message):
        """Send a message to the daemon that has the current attempt; False when cut off."""
        link = self.entry.links.of(run.endpoint)
        return link is not None and link.send(message)

    def attach(self, run):
        """Ask for the output again from where the caller stands; a failure when cut off."""
        have = len(run.tokens)
        message = requests.Attach(run.work.request_id, run.attempt, have, self.remaining(run))
        run.credited = have
        return None if self.send(run, message) else self.lost(run, "no link to attach over")

    async def reattach(self, run):
        """Wait for a new link to the same daemon and attach to the attempt over it."""
        patience = min(self.entry.settings.links.silence, self.remaining(run))
        give_up = self.entry.context.now() + patience
        link = self.entry.links.of(run.endpoint)
        if link is not None and link.ready:
            return self.attach_to(run, link.run_id)
        while True:
            message = await run.exchange.next(give_up - self.entry.context.now())
            if message is None:
                return self.lost(run, "no new link in time")
            if isinstance(message, LinkUp):
                return self.attach_to(run, message.run)

    def attach_to(self, run, peer_run):
        """Attach over a new link, unless the daemon was started anew meanwhile."""
        if peer_run != run.peer_run:
            return self.lost(run, "the daemon was started anew")
        return self.attach(run)

    def lost(self, run, detail):
        """Return the failure of an attempt whose daemon is out of reach."""
        return Failure(Reason.PEER_LOST, STEP, run.endpoint, detail)

    def delay_before_next(self, run, result):
        """Return the seconds before another attempt after `result`, None for no other one."""
        if isinstance(result, Answer):
            return None
        reason = Reason(result.reason)
        if reason in (Reason.DEADLINE, Reason.CANCELLED) or self.remaining(run) <= 0:
            return None
        not_run = getattr(result, "outcome", Outcome.UNKNOWN) == Outcome.NOT_RUN
        not_run = not_run or result.detail == "no link"
        run.handed_over = run.handed_over or not not_run
        if not run.work.idempotent and run.tokens:
            return None
        if run.attempt >= self.entry.settings.placing.attempts:
            return None
        return self.entry.retry_delay(run.work, reason, run.attempt)

    def refuse(self, run, result):
        """Return the final refusal of a request."""
        reason = Reason(result.reason)
        outcome = getattr(result, "outcome", Outcome.NOT_RUN)
        if isinstance(result, Failure) and not isinstance(result, Refusal) and run.attempt:
            outcome = Outcome.UNKNOWN if result.detail != "no link" else Outcome.NOT_RUN
        if run.handed_over or run.tokens:
            outcome = Outcome.UNKNOWN
        retry_after = getattr(result, "retry_after", 0) or RETRY_AFTER_SECONDS
        if reason is Reason.QUARANTINED:
            retry_after = None
        failure = Failure(reason, result.step, result.peer, result.detail)
        return refuse(failure, retry_after, Outcome(outcome), run.work.key)

    def cancel(self, run):
        """Tell the daemon of the last attempt that nobody waits for it any more."""
        if run.attempt and run.endpoint:
            self.send(run, requests.Cancel(run.work.request_id, run.attempt))
