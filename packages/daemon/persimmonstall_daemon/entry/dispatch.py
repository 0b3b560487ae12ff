"""Places a request, sends its attempts to endpoint daemons and decides on retries.

When an attempt is lost, the next one resumes on another endpoint after the tokens that the
caller already has, within the deadline and the retry budget.
"""

import asyncio

from persimmonstall.failures import Failure, Outcome, Postponed, Reason, Refusal, refuse
from persimmonstall.messages import requests

from .relay import NO_LINK, Relay, peer_lost
from .request import Answer
from .request_state import RequestState

RETRY_AFTER_SECONDS = 2.0
"""Delay after which a refused request may be sent again, where the refusal names none."""


def certainly_not_run(result):
    """Return whether a failed attempt has certainly not been run."""
    if result.detail == NO_LINK:
        return True
    return getattr(result, "outcome", Outcome.UNKNOWN) == Outcome.NOT_RUN


class Dispatch:
    """Runs the attempts of each request; `entry` is the `EntryDaemon`."""

    def __init__(self, entry):
        self.entry = entry
        self.relay = Relay(entry)

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
                self.relay.cancel(state)

    async def wait_for_first_copy(self, state):
        """Wait while another request runs the same content, which is not yet known as harmless.

        Return whether this request leads, so that others wait for it.
        """
        return await self.entry.first_copy_gate.wait_or_lead(
            state.work.fingerprint, self.entry.remaining(state.work)
        )

    async def attempt_until_done(self, state):
        """Make attempts until the request is answered or must be refused."""
        while True:
            placed = self.entry.place(state.work, state.avoided)
            if isinstance(placed, Postponed) and placed.delay < self.entry.remaining(state.work):
                await asyncio.sleep(self.entry.context.jitter(placed.delay))
                continue
            if not placed:
                return self.refuse(state, placed)
            sent = self.submit(state, placed)
            if sent:
                result = await self.relay.run(state, placed)
                self.record_presumed_crash(state, result)
            else:
                result = peer_lost(state, NO_LINK)
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
            remaining=self.entry.remaining(state.work),
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

    def delay_before_next(self, state, result):
        """Return the seconds to wait before a retry after `result`, or None for no retry."""
        if isinstance(result, Answer):
            return None
        reason = Reason(result.reason)
        if reason in (Reason.DEADLINE, Reason.CANCELLED) or self.entry.remaining(state.work) <= 0:
            return None
        if not certainly_not_run(result):
            state.may_have_run = True
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
            outcome = Outcome.NOT_RUN if result.detail == NO_LINK else Outcome.UNKNOWN
        if state.may_have_run or state.tokens:
            outcome = Outcome.UNKNOWN
        retry_after = getattr(result, "retry_after", 0) or RETRY_AFTER_SECONDS
        if reason is Reason.QUARANTINED:
            retry_after = None
        failure = Failure(reason, result.step, result.peer, result.detail)
        return refuse(failure, retry_after, Outcome(outcome), state.work.key)
