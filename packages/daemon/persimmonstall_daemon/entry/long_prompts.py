"""Dispatch of prompts larger than an engine, over parts held on several engines.

The decisions are those of `persimmonstall.memory.long_prompt`; here they are carried out over
the links.  Only an attempt to generate counts as an attempt of the request.
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
from .request import Answer

STEP = "long_prompt"

TICK_SECONDS = 0.25
"""Longest time between two looks at the state of the parts."""

ANSWER_SECONDS = 1.0
"""Time that an endpoint's daemon has to answer a reservation."""

ROOM_SECONDS = 2.0
"""Mean time between two attempts to find room."""

REPAIR_SECONDS = 4.0
"""Time to find room for a lost part before everything is given back."""

FIRST_COST = PrefillCost(tokens=1000.0, seconds=0.02, seconds_per_token=1.0 / 50_000.0)
"""Prefill speed assumed before any part was prefilled."""


@attrs.define(eq=False)
class Division:
    """One divided prompt on its way; absolute times of the local clock in seconds.

    `heard` tells when each reservation was last confirmed.
    """

    mailbox: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    prompt: LongPrompt | None = None
    exchanges: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    avoided: set = attrs.field(factory=set)
    generate: Generate | None = None
    renew_at: float = 0.0
    lost_at: float = 0.0
    started: dict = attrs.field(factory=dict)


class DispatchBySize:
    """Chooses between the dispatch of ordinary prompts and that of divided ones."""

    def __init__(self, ordinary, divided):
        self.ordinary = ordinary
        self.divided = divided

    async def run(self, work, sink):
        """Return the `Answer` or `Refusal` of one admitted request."""
        chosen = self.divided if self.divided.applies(work) else self.ordinary
        return await chosen.run(work, sink)


class LongDispatch(Dispatch):
    """Reserves and prefills the parts, then relays the answer that one engine generates."""

    def __init__(self, entry):
        super().__init__(entry)
        self.loads = {}
        self.divisions = {}
        self.cost = attrs.evolve(FIRST_COST)
        entry.control_handlers[control.Reserved] = self.on_reserved

    # What the entry tells.

    def on_loads(self, loads):
        """Keep the latest load of each endpoint."""
        for load in loads:
            self.loads[load.endpoint] = load

    def on_reserved(self, answer, _link):
        """Bring the answer to a reservation to its request."""
        request_id = answer.reservation.rpartition(".")[0]
        division = self.divisions.get(request_id)
        if division:
            division.mailbox.put_nowait(answer)
        elif not answer.reason:
            self.send_to(control.Release(answer.reservation, answer.endpoint))

    # Room.

    def engines(self, work):
        """Return the room of every engine that serves the work's model."""
        return [
            segments.EngineMemory(
                load.endpoint, load.memory_total - load.memory_used, load.memory_total
            )
            for load in self.loads.values()
            if work.model in load.models and load.memory_total
        ]

    def eligible(self, work):
        """Return the rooms of the engines that may hold parts of long prompts."""
        return segments.eligible(self.engines(work), self.entry.settings.placing.long_share)

    def reachable(self, engines):
        """Return the rooms of engines that can be asked now."""
        return [engine for engine in engines if self.is_reachable(engine.endpoint)]

    def is_reachable(self, endpoint):
        """Whether an endpoint takes new work over an open link."""
        link = self.entry.links.of(endpoint)
        leaving = endpoint in self.entry.membership.view.leaving
        return bool(link and link.ready) and not leaving and not self.loads[endpoint].leaving

    def applies(self, work):
        """Whether a request has to be divided."""
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

    def plan(self, run, division):
        """Return the shares of the prompt, or the `Failure` that there is no room or time."""
        work = run.work
        eligible = self.eligible(work)
        output = max(work.predicted_tokens, len(run.tokens))
        everywhere = segments.divide(work.prompt_tokens, output, eligible)
        if not everywhere and everywhere.reason is Reason.PROMPT_TOO_LONG:
            return everywhere
        reachable = self.reachable(eligible)
        if not reachable:
            return Failure(Reason.NO_ENDPOINT, STEP, detail="no engine for long prompts")
        assignments = segments.divide(work.prompt_tokens, output, reachable, division.avoided)
        if not assignments and assignments.reason is Reason.PROMPT_TOO_LONG:
            return Failure(Reason.BUSY, STEP, detail="engines for long prompts are out of reach")
        return assignments

    def seconds_for(self, assignments):
        """Return the estimated time to prefill shares side by side, in seconds."""
        tokens = max(
            weighted_tokens(assignment.end - assignment.start, assignment.end)
            for assignment in assignments
        )
        return tokens * self.cost.seconds_per_token

    # One request.

    async def attempt_until_done(self, run):
        """Prepare the parts and generate until there is an answer or none can be had."""
        division = Division()
        request_id = run.work.request_id
        self.divisions[request_id] = division
        try:
            while True:
                failure = await self.prepare(run, division)
                if failure is not None:
                    return self.refuse(run, failure)
                result = await self.generate(run, division)
                self.entry.on_attempt_end(run.work, run.endpoint, result)
                delay = self.delay_before_next(run, result)
                if delay is None:
                    return result if isinstance(result, Answer) else self.refuse(run, result)
                renewed = await self.renew_claim(run, result)
                if renewed is not None:
                    return renewed
                self.cancel(run)
                await self.confirm(run, division, delay)
        finally:
            del self.divisions[request_id]
            self.give_back(division)

    async def prepare(self, run, division):
        """Return None once all parts are held, or the `Failure` that ends the request."""
        division.generate = None
        while True:
            if self.remaining(run) <= 0:
                return Failure(Reason.DEADLINE, STEP, detail="no room in time")
            if self.entry.quarantine.is_quarantined(run.work.fingerprint):
                return self.entry.suspects.refusal()
            if division.prompt is None:
                failure = await self.begin(run, division)
                if failure is not None:
                    return failure
                continue
            self.execute(run, division, division.prompt.advance(self.now()))
            if division.generate:
                return None
            await self.step(run, division)

    async def begin(self, run, division):
        """Divide the prompt; wait for room when there is none; return a final `Failure`."""
        assignments = self.plan(run, division)
        if not assignments and assignments.reason is Reason.PROMPT_TOO_LONG:
            return assignments
        if assignments and self.seconds_for(assignments) > self.remaining(run):
            detail = f"needs {self.seconds_for(assignments):.1f} s of {self.remaining(run):.1f} s"
            return Failure(Reason.TOO_LATE, STEP, detail=detail)
        if assignments:
            division.prompt = LongPrompt(run.work.request_id, assignments)
            division.renew_at = self.now() + RENEW_SECONDS
            return None
        division.avoided.clear()
        wait = self.entry.context.jitter(ROOM_SECONDS, 0.5)
        await asyncio.sleep(min(wait, max(0.0, self.remaining(run))))
        return None

    async def generate(self, run, division):
        """Relay one attempt to generate; it ends early when a part is lost."""
        run.segments = division.generate.refs
        placed = PlacementDecision(division.generate.endpoint, run.work.priority, uncached=1)
        if not self.submit(run, placed):
            return self.lost(run, "no link")
        relay = asyncio.create_task(self.relay(run))
        try:
            while not relay.done() and not self.has_lost(division):
                await self.step(run, division, relay)
            if not relay.done():
                run.exchange.post(self.part_lost(run, division))
            return await relay
        finally:
            relay.cancel()

    def has_lost(self, division):
        """Whether a part is lost."""
        return division.prompt is None or bool(division.prompt.in_state(PartState.LOST))

    def part_lost(self, run, division):
        """Return the message that ends an attempt whose parts are gone."""
        endpoints = division.prompt.lost_endpoints() if division.prompt else ()
        return requests.Refused(
            run.work.request_id,
            run.attempt,
            Reason.ENDPOINT_LOST,
            STEP,
            ",".join(sorted(endpoints)),
            Outcome.UNKNOWN,
            detail="a part of the prompt is lost",
        )

    async def confirm(self, run, division, delay):
        """Find out which parts are left after a failed attempt; takes at least `delay`."""
        if division.prompt is None:
            return
        asked = self.now()
        self.renew(division)
        held = {part.reservation for part in division.prompt.in_state(PartState.HELD)}
        while self.now() < asked + max(delay, ANSWER_SECONDS):
            answered = all(division.heard.get(name, 0.0) > asked for name in held)
            if answered and self.now() >= asked + delay:
                return
            await self.step(run, division)
            if division.prompt is None:
                return
        for name in held:
            if division.heard.get(name, 0.0) < asked:
                division.prompt.on_lost(name)

    async def step(self, run, division, beside=None):
        """Handle messages for a while, at most until the task `beside` is done."""
        getter = asyncio.ensure_future(division.mailbox.get())
        awaited = {getter, beside} if beside else {getter}
        timeout = min(TICK_SECONDS, max(0.0, self.remaining(run)))
        try:
            await asyncio.wait(awaited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if getter.done():
                self.handle(run, division, getter.result())
        finally:
            getter.cancel()
        self.look(run, division, generating=beside is not None)

    def handle(self, run, division, message):
        """Handle one message about a part."""
        prompt = division.prompt
        if prompt is None:
            return
        now = self.now()
        if isinstance(message, control.Reserved):
            if not message.reason:
                division.heard[message.reservation] = now
            self.execute(run, division, prompt.on_reserved(message, now))
        elif isinstance(message, requests.End):
            self.learn(division, prompt.find(message.request_id))
            job_id = message.body.decode()
            self.execute(run, division, prompt.on_prefilled(message.request_id, job_id, now))
        elif isinstance(message, requests.Refused):
            division.avoided.add(message.peer)
            prompt.on_lost(message.request_id)
        elif isinstance(message, LinkUp):
            self.attach_parts(run, division, message)

    def learn(self, division, part):
        """Learn the speed of prefills from a part that is done."""
        if part and part.state is PartState.PREFILLING:
            tokens = weighted_tokens(
                part.assignment.end - part.assignment.start, part.assignment.end
            )
            self.cost.observe(tokens, self.now() - part.asked_at)

    def attach_parts(self, run, division, up):
        """Ask over a new link for the end of the prefills that went on meanwhile."""
        for part in division.prompt.in_state(PartState.PREFILLING):
            exchange = division.exchanges.get(part.reservation)
            if exchange and exchange.instance == up.instance:
                left = self.remaining(run)
                self.send_part(part, requests.Attach(part.reservation, 1, 0, left))

    def look(self, run, division, generating):
        """Renew reservations, notice what is lost, and replace it unless `generating`."""
        prompt = division.prompt
        if prompt is None:
            return
        now = self.now()
        for part in prompt.in_state(PartState.ASKED):
            if now - part.asked_at > ANSWER_SECONDS:
                late = control.Reserved(part.reservation, part.endpoint, Reason.PEER_LOST)
                self.send_part(part, control.Release(part.reservation, part.endpoint))
                self.execute(run, division, prompt.on_reserved(late, now))
        for part in prompt.parts:
            heard = division.heard.get(part.reservation, now)
            if part.state is not PartState.ASKED and now - heard > RESERVATION_SECONDS:
                prompt.on_lost(part.reservation)
        if now >= division.renew_at:
            self.renew(division)
        if division.prompt is prompt and not generating:
            self.repair(run, division)

    def renew(self, division):
        """Put off the lapse of all reservations."""
        division.renew_at = self.now() + RENEW_SECONDS
        for message in division.prompt.renewals():
            self.send_to(message)

    def repair(self, run, division):
        """Find other engines for lost parts; after a while give everything back instead."""
        prompt = division.prompt
        if not prompt.in_state(PartState.LOST):
            division.lost_at = 0.0
            return
        now = self.now()
        division.lost_at = division.lost_at or now
        engines = self.reachable(self.eligible(run.work))
        avoided = division.avoided | prompt.lost_endpoints()
        engines = [engine for engine in engines if engine.endpoint not in avoided]
        self.execute(run, division, prompt.reassign_lost(engines, now))
        if prompt.in_state(PartState.LOST) and now - division.lost_at > REPAIR_SECONDS:
            self.give_back(division)

    def give_back(self, division):
        """Release everything; the prompt will be divided anew if there is time."""
        prompt, division.prompt = division.prompt, None
        division.lost_at = 0.0
        division.avoided.clear()
        for message in prompt.release() if prompt else ():
            self.send_to(message)
        for exchange in division.exchanges.values():
            self.entry.exchanges.close(exchange)
        division.exchanges.clear()
        division.heard.clear()

    # Commands.

    def execute(self, run, division, commands):
        """Carry out what the decisions ask for."""
        for command in commands:
            if isinstance(command, Prefill):
                self.prefill(run, division, command.part)
            elif isinstance(command, Generate):
                division.generate = command
            elif isinstance(command, Refused):
                self.on_refused(division, command)
            elif not self.send_to(command) and isinstance(command, control.Reserve):
                answer = control.Reserved(command.reservation, command.endpoint, Reason.PEER_LOST)
                division.mailbox.put_nowait(answer)

    def on_refused(self, division, refused):
        """Avoid an engine that has no room; divide anew if everything was given back."""
        division.avoided.add(refused.endpoint)
        if refused.released:
            avoided = set(division.avoided)
            self.give_back(division)
            division.avoided = avoided

    def prefill(self, run, division, part):
        """Hand over the prefill of one part."""
        link = self.entry.links.of(part.endpoint)
        exchange = self.entry.exchanges.open(part.reservation)
        exchange.mailbox = division.mailbox
        exchange.instance = link.name if link else ""
        division.exchanges[part.reservation] = exchange
        run.handed_over = True
        if not self.send_part(part, self.prefill_of(run, part)):
            division.prompt.on_lost(part.reservation)

    def prefill_of(self, run, part):
        """Return the message that hands the prefill of a part over."""
        work = run.work
        return requests.Submit(
            request_id=part.reservation,
            attempt=1,
            endpoint=part.endpoint,
            organisation=work.organisation,
            prompt=work.prompt,
            remaining=self.remaining(run),
            model=work.model,
            adapter=work.adapter,
            prompt_tokens=work.prompt_tokens,
            priority=work.priority,
            length_class=work.length_class,
            fingerprint=work.fingerprint,
            suspect=self.entry.suspects.is_suspect(work),
            segment_start=part.assignment.start,
            segment_end=part.assignment.end,
        )

    def submit_of(self, run, placed):
        """Return the message that begins to generate: a prefill of one token."""
        submit = super().submit_of(run, placed)
        return attrs.evolve(submit, blocks=(), length_class=LengthClass.SHORT)

    def count(self, run, placed):
        """Leave placement out: what the parts hold is in the engines' reports."""

    def send_part(self, part, message):
        """Send a message to the daemon of a part's endpoint; False when cut off."""
        link = self.entry.links.of(part.endpoint)
        return link is not None and link.send(message)

    def send_to(self, message):
        """Send a message to the daemon of the endpoint it names; False when cut off."""
        link = self.entry.links.of(message.endpoint)
        return link is not None and link.send(message)

    def now(self):
        """Return the entry's monotonic time in seconds."""
        return self.entry.context.now()
