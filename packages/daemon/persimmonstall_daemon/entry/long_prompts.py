"""Dispatch of prompts larger than one engine, divided into parts held on several engines.

`persimmonstall.memory.long_prompt` makes the decisions; this module carries them out over the
links.  Only generations count as attempts of a request, prefills of parts do not.
"""

import asyncio

import attrs

from persimmonstall.failures import Failure, Outcome, Reason
from persimmonstall.lengths import LengthClass
from persimmonstall.memory import segments
from persimmonstall.memory.long_prompt import (
    RENEW_SECONDS,
    RESERVATION_SECONDS,
    Generate,
    LongPrompt,
    PartState,
    Prefill,
    Refused,
)
from persimmonstall.messages import control, requests
from persimmonstall.placement.cost import PrefillCost, weighted_tokens
from persimmonstall.placement.policy import PlacementDecision

from .dispatch import Dispatch
from .exchange import LinkUp
from .relay import NO_LINK, peer_lost
from .request import Answer

STEP = "long_prompt"

TICK_SECONDS = 0.25
"""Maximum interval between checks of the parts of a prompt."""

ANSWER_TIMEOUT_SECONDS = 1.0
"""Time within which an endpoint daemon must answer a reservation or a renewal."""

MEMORY_RETRY_SECONDS = 2.0
"""Mean interval between attempts to find enough free memory."""

REPAIR_SECONDS = 4.0
"""Time to find memory for a lost part before all parts are released."""

INITIAL_COST = PrefillCost(tokens=1000.0, seconds=0.02, seconds_per_token=1.0 / 50_000.0)
"""Assumed prefill cost until a part has been prefilled."""


@attrs.define(eq=False)
class Division:
    """State of one request whose prompt is divided; times are in seconds of the local clock.

    `mailbox` receives the messages about all parts.  `exchanges` maps each reservation to the
    `Exchange` of its prefill.  `confirmed_at` maps each reservation to the time when it was last
    confirmed, and `avoided` holds the endpoints that refused or lost a part.  `generate` is set
    once all parts are held.  `lost_at` is the time since when parts have been lost, 0 while none
    is lost.
    """

    mailbox: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    prompt: LongPrompt | None = None
    exchanges: dict = attrs.field(factory=dict)
    confirmed_at: dict = attrs.field(factory=dict)
    avoided: set = attrs.field(factory=set)
    generate: Generate | None = None
    renew_at: float = 0.0
    lost_at: float = 0.0
    started: dict = attrs.field(factory=dict)


class DispatchBySize:
    """Chooses between the dispatch of ordinary prompts and of divided prompts."""

    def __init__(self, ordinary, divided):
        self.ordinary = ordinary
        self.divided = divided

    async def run(self, work, sink):
        """Run an admitted request; return its `Answer` or `Refusal`."""
        chosen = self.divided if self.divided.applies(work) else self.ordinary
        return await chosen.run(work, sink)


class LongDispatch(Dispatch):
    """Reserves memory for the parts, prefills them and relays the answer of one engine.

    `loads` holds the latest load of each endpoint, `divisions` the divided prompts by request id
    and `cost` the learned cost of prefills.
    """

    def __init__(self, entry):
        super().__init__(entry)
        self.loads = {}
        self.divisions = {}
        self.cost = attrs.evolve(INITIAL_COST)
        entry.control_handlers[control.Reserved] = self.on_reserved

    # Events from the entry.

    def on_loads(self, loads):
        """Store the latest load of each endpoint."""
        for load in loads:
            self.loads[load.endpoint] = load

    def on_reserved(self, answer, _link):
        """Deliver the answer to a reservation; release the memory if the request has ended."""
        request_id = answer.reservation.rpartition(".")[0]
        division = self.divisions.get(request_id)
        if division:
            division.mailbox.put_nowait(answer)
        elif not answer.reason:
            self.send_to(control.Release(answer.reservation, answer.endpoint))

    # Engine memory.

    def engines(self, work):
        """Return the memory of every engine that serves the model of `work`."""
        return [
            segments.EngineMemory(
                load.endpoint, load.memory_total - load.memory_used, load.memory_total
            )
            for load in self.loads.values()
            if work.model in load.models and load.memory_total
        ]

    def eligible(self, work):
        """Return the memory of the engines that may hold parts of long prompts."""
        return segments.eligible(self.engines(work), self.entry.settings.placing.long_share)

    def reachable(self, engines):
        """Return those of `engines` that are reachable now."""
        return [engine for engine in engines if self.is_reachable(engine.endpoint)]

    def is_reachable(self, endpoint):
        """Whether an endpoint has an open link and accepts new work."""
        link = self.entry.links.link_to(endpoint)
        leaving = endpoint in self.entry.membership.view.leaving
        return bool(link and link.ready) and not leaving and not self.loads[endpoint].leaving

    def applies(self, work):
        """Whether the prompt of a request must be divided."""
        if work.service:
            return False
        engines = self.engines(work)
        tokens = work.prompt_tokens + work.predicted_tokens
        if not segments.needs_division(tokens, engines):
            return False
        if tokens > max(engine.total for engine in engines):
            return True
        possible = segments.divide(work.prompt_tokens, work.predicted_tokens, self.eligible(work))
        return bool(possible) or possible.reason is Reason.BUSY

    def plan(self, state, division):
        """Return the `Assignment`s of the prompt, or a `Failure` if there is not enough memory.

        Its reason is not PROMPT_TOO_LONG if the prompt would fit once all eligible engines are
        reachable.
        """
        work = state.work
        eligible = self.eligible(work)
        output = max(work.predicted_tokens, len(state.tokens))
        if_all_reachable = segments.divide(work.prompt_tokens, output, eligible)
        if not if_all_reachable and if_all_reachable.reason is Reason.PROMPT_TOO_LONG:
            return if_all_reachable
        reachable = self.reachable(eligible)
        if not reachable:
            return Failure(
                Reason.NO_ENDPOINT, STEP, detail="no engine for long prompts is reachable"
            )
        assignments = segments.divide(work.prompt_tokens, output, reachable, division.avoided)
        if not assignments and assignments.reason is Reason.PROMPT_TOO_LONG:
            return Failure(Reason.BUSY, STEP, detail="engines for long prompts are unreachable")
        return assignments

    def prefill_seconds(self, assignments):
        """Return the estimated time in seconds to prefill all parts in parallel."""
        tokens = max(
            weighted_tokens(assignment.end - assignment.start, assignment.end)
            for assignment in assignments
        )
        return tokens * self.cost.seconds_per_token

    # Course of one request.

    async def attempt_until_done(self, state):
        """Prefill the parts and generate until the request is answered or must be refused."""
        division = Division()
        request_id = state.work.request_id
        self.divisions[request_id] = division
        try:
            while True:
                failure = await self.prepare(state, division)
                if failure is not None:
                    return self.refuse(state, failure)
                result = await self.generate(state, division)
                self.entry.on_attempt_end(state.work, state.endpoint, result)
                delay = self.delay_before_next(state, result)
                if delay is None:
                    return result if isinstance(result, Answer) else self.refuse(state, result)
                renewed = await self.renew_claim(state, result)
                if renewed is not None:
                    return renewed
                self.relay.cancel(state)
                await self.confirm_parts(state, division, delay)
        finally:
            del self.divisions[request_id]
            self.release_parts(division)

    async def prepare(self, state, division):
        """Reserve and prefill all parts; return None, or the `Failure` that ends the request."""
        division.generate = None
        while True:
            if self.entry.remaining(state.work) <= 0:
                return Failure(
                    Reason.DEADLINE, STEP, detail="not all parts were prefilled in time"
                )
            if self.entry.quarantine.is_quarantined(state.work.fingerprint):
                return self.entry.quarantine_filter.refusal()
            if division.prompt is None:
                failure = await self.divide_or_wait(state, division)
                if failure is not None:
                    return failure
                continue
            self.execute(state, division, division.prompt.advance(self.now()))
            if division.generate:
                return None
            await self.handle_next(state, division)

    async def divide_or_wait(self, state, division):
        """Divide the prompt, or wait a while if there is not enough free memory.

        Return None, or the `Failure` that ends the request.
        """
        assignments = self.plan(state, division)
        if not assignments and assignments.reason is Reason.PROMPT_TOO_LONG:
            return assignments
        remaining = self.entry.remaining(state.work)
        if assignments and self.prefill_seconds(assignments) > remaining:
            detail = f"needs {self.prefill_seconds(assignments):.1f} s of {remaining:.1f} s"
            return Failure(Reason.TOO_LATE, STEP, detail=detail)
        if assignments:
            division.prompt = LongPrompt(state.work.request_id, assignments)
            division.renew_at = self.now() + RENEW_SECONDS
            return None
        division.avoided.clear()
        wait = self.entry.context.jitter(MEMORY_RETRY_SECONDS, 0.5)
        await asyncio.sleep(min(wait, max(0.0, self.entry.remaining(state.work))))
        return None

    async def generate(self, state, division):
        """Relay one generation; it ends early when a part is lost."""
        state.segments = division.generate.refs
        placed = PlacementDecision(division.generate.endpoint, state.work.priority, uncached=1)
        if not self.submit(state, placed):
            return peer_lost(state, NO_LINK)
        relay = asyncio.create_task(self.relay.run(state))
        try:
            while not relay.done() and not self.has_lost_part(division):
                await self.handle_next(state, division, relay)
            if not relay.done():
                state.exchange.post(self.part_lost_message(state, division))
            return await relay
        finally:
            relay.cancel()

    def has_lost_part(self, division):
        """Whether a part is lost."""
        return division.prompt is None or bool(division.prompt.in_state(PartState.LOST))

    def part_lost_message(self, state, division):
        """Return the message that ends an attempt after the loss of a part."""
        endpoints = division.prompt.lost_endpoints() if division.prompt else ()
        return requests.Refused(
            state.work.request_id,
            state.attempt,
            Reason.ENDPOINT_LOST,
            STEP,
            ",".join(sorted(endpoints)),
            Outcome.UNKNOWN,
            detail="a part of the prompt was lost",
        )

    async def confirm_parts(self, state, division, delay):
        """After a failed attempt, renew the held parts; mark those as lost that do not answer.

        Waits at least `delay` seconds, the delay before the next attempt.
        """
        if division.prompt is None:
            return
        asked_at = self.now()
        self.renew(division)
        held = {part.reservation for part in division.prompt.in_state(PartState.HELD)}
        while self.now() < asked_at + max(delay, ANSWER_TIMEOUT_SECONDS):
            answered = all(division.confirmed_at.get(name, 0.0) > asked_at for name in held)
            if answered and self.now() >= asked_at + delay:
                return
            await self.handle_next(state, division)
            if division.prompt is None:
                return
        for name in held:
            if division.confirmed_at.get(name, 0.0) < asked_at:
                division.prompt.on_lost(name)

    async def handle_next(self, state, division, task=None):
        """Handle the next message and check the parts; returns early if `task` is done."""
        getter = asyncio.ensure_future(division.mailbox.get())
        awaited = {getter, task} if task else {getter}
        timeout = min(TICK_SECONDS, max(0.0, self.entry.remaining(state.work)))
        try:
            await asyncio.wait(awaited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if getter.done():
                self.handle(state, division, getter.result())
        finally:
            getter.cancel()
        self.check_parts(state, division, generating=task is not None)

    def handle(self, state, division, message):
        """Handle one message about a part."""
        prompt = division.prompt
        if prompt is None:
            return
        now = self.now()
        if isinstance(message, control.Reserved):
            if not message.reason:
                division.confirmed_at[message.reservation] = now
            self.execute(state, division, prompt.on_reserved(message, now))
        elif isinstance(message, requests.End):
            self.update_cost(division, prompt.find(message.request_id))
            job_id = message.body.decode()
            self.execute(state, division, prompt.on_prefilled(message.request_id, job_id, now))
        elif isinstance(message, requests.Refused):
            division.avoided.add(message.peer)
            prompt.on_lost(message.request_id)
        elif isinstance(message, LinkUp):
            self.attach_parts(state, division, message)

    def update_cost(self, division, part):
        """Update the prefill cost from a part whose prefill is done."""
        if part and part.state is PartState.PREFILLING:
            tokens = weighted_tokens(
                part.assignment.end - part.assignment.start, part.assignment.end
            )
            self.cost.observe(tokens, self.now() - part.asked_at)

    def attach_parts(self, state, division, link_up):
        """Attach over a new link to the prefills that continued while the link was down."""
        for part in division.prompt.in_state(PartState.PREFILLING):
            exchange = division.exchanges.get(part.reservation)
            if exchange and exchange.instance == link_up.instance:
                left = self.entry.remaining(state.work)
                self.send_part(part, requests.Attach(part.reservation, 1, 0, left))

    def check_parts(self, state, division, generating):
        """Renew reservations, detect lost parts and reassign them unless `generating`."""
        prompt = division.prompt
        if prompt is None:
            return
        now = self.now()
        for part in prompt.in_state(PartState.ASKED):
            if now - part.asked_at > ANSWER_TIMEOUT_SECONDS:
                timed_out = control.Reserved(part.reservation, part.endpoint, Reason.PEER_LOST)
                self.send_part(part, control.Release(part.reservation, part.endpoint))
                self.execute(state, division, prompt.on_reserved(timed_out, now))
        for part in prompt.parts:
            confirmed_at = division.confirmed_at.get(part.reservation, now)
            if part.state is not PartState.ASKED and now - confirmed_at > RESERVATION_SECONDS:
                prompt.on_lost(part.reservation)
        if now >= division.renew_at:
            self.renew(division)
        if division.prompt is prompt and not generating:
            self.repair(state, division)

    def renew(self, division):
        """Renew all reservations."""
        division.renew_at = self.now() + RENEW_SECONDS
        for message in division.prompt.renewals():
            self.send_to(message)

    def repair(self, state, division):
        """Reassign lost parts to other engines; release all parts after `REPAIR_SECONDS`."""
        prompt = division.prompt
        if not prompt.in_state(PartState.LOST):
            division.lost_at = 0.0
            return
        now = self.now()
        division.lost_at = division.lost_at or now
        engines = self.reachable(self.eligible(state.work))
        avoided = division.avoided | prompt.lost_endpoints()
        engines = [engine for engine in engines if engine.endpoint not in avoided]
        self.execute(state, division, prompt.reassign_lost(engines, now))
        if prompt.in_state(PartState.LOST) and now - division.lost_at > REPAIR_SECONDS:
            self.release_parts(division)

    def release_parts(self, division):
        """Release all parts; the prompt is divided again if there is time."""
        prompt, division.prompt = division.prompt, None
        division.lost_at = 0.0
        division.avoided.clear()
        for message in prompt.release() if prompt else ():
            self.send_to(message)
        for exchange in division.exchanges.values():
            self.entry.exchanges.close(exchange)
        division.exchanges.clear()
        division.confirmed_at.clear()

    # Commands of `LongPrompt`.

    def execute(self, state, division, commands):
        """Carry out the commands and send the messages in `commands`."""
        for command in commands:
            if isinstance(command, Prefill):
                self.prefill(state, division, command.part)
            elif isinstance(command, Generate):
                division.generate = command
            elif isinstance(command, Refused):
                self.on_refused(division, command)
            elif not self.send_to(command) and isinstance(command, control.Reserve):
                answer = control.Reserved(command.reservation, command.endpoint, Reason.PEER_LOST)
                division.mailbox.put_nowait(answer)

    def on_refused(self, division, refused):
        """Avoid an engine without enough memory; divide again if all parts were released."""
        division.avoided.add(refused.endpoint)
        if refused.released:
            avoided = set(division.avoided)
            self.release_parts(division)
            division.avoided = avoided

    def prefill(self, state, division, part):
        """Send the prefill of one part."""
        link = self.entry.links.link_to(part.endpoint)
        exchange = self.entry.exchanges.open(part.reservation)
        exchange.mailbox = division.mailbox
        exchange.instance = link.name if link else ""
        division.exchanges[part.reservation] = exchange
        state.may_have_run = True
        if not self.send_part(part, self.prefill_message(state, part)):
            division.prompt.on_lost(part.reservation)

    def prefill_message(self, state, part):
        """Return the `Submit` message of the prefill of a part."""
        work = state.work
        return requests.Submit(
            request_id=part.reservation,
            attempt=1,
            endpoint=part.endpoint,
            organisation=work.organisation,
            prompt=work.prompt,
            remaining=self.entry.remaining(state.work),
            model=work.model,
            adapter=work.adapter,
            prompt_tokens=work.prompt_tokens,
            priority=work.priority,
            length_class=work.length_class,
            fingerprint=work.fingerprint,
            suspect=self.entry.quarantine_filter.is_suspect(work),
            segment_start=part.assignment.start,
            segment_end=part.assignment.end,
        )

    def submit_message(self, state, placed):
        """Return the `Submit` message of a generation, which prefills only one token."""
        submit = super().submit_message(state, placed)
        return attrs.evolve(submit, blocks=(), length_class=LengthClass.SHORT)

    def record_attempt(self, state, placed):
        """Record nothing: the memory of the parts is part of the engines' load reports."""

    def send_part(self, part, message):
        """Send a message to the daemon of a part's endpoint; return False without a link."""
        link = self.entry.links.link_to(part.endpoint)
        return link is not None and link.send(message)

    def send_to(self, message):
        """Send a message to the daemon of its endpoint; return False without a link."""
        link = self.entry.links.link_to(message.endpoint)
        return link is not None and link.send(message)

    def now(self):
        """Return the entry's monotonic time in seconds."""
        return self.entry.context.now()
