"""Dispatch of prompts larger than one engine, divided into parts held on several engines.

`persimmonstall.memory.long_prompt` makes the decisions; `PartCommands` carries them out over the
links.  Only generations count as attempts of a request, prefills of parts do not.
"""

import asyncio

import attrs

from persimmonstall.failures import Failure, Outcome, Reason
from persimmonstall.lengths import LengthClass
from persimmonstall.memory.long_prompt import RENEW_SECONDS, LongPrompt
from persimmonstall.messages import control, requests
from persimmonstall.placement.policy import PlacementDecision

from .dispatch import Dispatch
from .division import Division
from .division_planner import STEP, DivisionPlanner
from .part_commands import PartCommands
from .part_monitor import PartMonitor
from .relay import NO_LINK, peer_lost
from .request import Answer

MEMORY_RETRY_SECONDS = 2.0
"""Mean interval between attempts to find enough free memory."""


class LongDispatch(Dispatch):
    """Reserves memory for the parts, prefills them and relays the answer of one engine.

    `divisions` holds the divided prompts by request id.
    """

    def __init__(self, entry):
        super().__init__(entry)
        self.divisions = {}
        self.planner = DivisionPlanner(entry)
        self.commands = PartCommands(entry)
        self.monitor = PartMonitor(entry, self.planner, self.commands)
        entry.control_handlers[control.Reserved] = self.on_reserved

    def on_reserved(self, answer, _link):
        """Deliver the answer to a reservation; release the memory if the request has ended."""
        request_id = answer.reservation.rpartition(".")[0]
        division = self.divisions.get(request_id)
        if division:
            division.mailbox.put_nowait(answer)
        elif not answer.reason:
            self.commands.send(control.Release(answer.reservation, answer.endpoint))

    async def attempt_until_done(self, state):
        """Prefill the parts and generate until the request is answered or must be refused."""
        division = Division(state)
        request_id = state.work.request_id
        self.divisions[request_id] = division
        try:
            while True:
                failure = await self.prepare(division)
                if failure is not None:
                    return self.refuse(state, failure)
                result = await self.generate(division)
                self.entry.on_attempt_end(state.work, state.endpoint, result)
                delay = self.delay_before_next(state, result)
                if delay is None:
                    return result if isinstance(result, Answer) else self.refuse(state, result)
                renewed = await self.renew_claim(state, result)
                if renewed is not None:
                    return renewed
                self.relay.cancel(state)
                await self.monitor.confirm_parts(division, delay)
        finally:
            del self.divisions[request_id]
            self.commands.release(division)

    async def prepare(self, division):
        """Reserve and prefill all parts; return None, or the `Failure` that ends the request."""
        division.generate = None
        while True:
            failure = self.reason_to_stop(division.state.work)
            if failure is None and division.prompt is None:
                failure = await self.divide_or_wait(division)
                if failure is None:
                    continue
            if failure is not None:
                return failure
            self.commands.execute(division, division.prompt.advance(self.entry.context.now()))
            if division.generate:
                return None
            await self.monitor.handle_next(division)

    def reason_to_stop(self, work):
        """Return the `Failure` of a request that is out of time or quarantined, else None."""
        if self.entry.remaining(work) <= 0:
            return Failure(Reason.DEADLINE, STEP, detail="not all parts were prefilled in time")
        if self.entry.quarantine.is_quarantined(work.fingerprint):
            return self.entry.quarantine_filter.refusal()
        return None

    async def divide_or_wait(self, division):
        """Divide the prompt, or wait a while if there is not enough free memory.

        Return None, or the `Failure` that ends the request.
        """
        work = division.state.work
        assignments = self.planner.plan(division)
        if assignments:
            return self.divide(division, assignments)
        if assignments.reason is Reason.PROMPT_TOO_LONG:
            return assignments
        division.avoided.clear()
        wait = self.entry.context.jitter(MEMORY_RETRY_SECONDS, 0.5)
        await asyncio.sleep(min(wait, max(0.0, self.entry.remaining(work))))
        return None

    def divide(self, division, assignments):
        """Divide the prompt; return None, or a `Failure` if the prefills would take too long."""
        work = division.state.work
        needed = self.planner.prefill_seconds(assignments)
        remaining = self.entry.remaining(work)
        if needed > remaining:
            detail = f"needs {needed:.1f} s of {remaining:.1f} s"
            return Failure(Reason.TOO_LATE, STEP, detail=detail)
        division.prompt = LongPrompt(work.request_id, assignments)
        division.renew_at = self.entry.context.now() + RENEW_SECONDS
        return None

    async def generate(self, division):
        """Relay one generation; it ends early when a part is lost."""
        state = division.state
        state.segments = division.generate.refs
        placed = PlacementDecision(division.generate.endpoint, state.work.priority, uncached=1)
        if not self.submit(state, placed):
            return peer_lost(state, NO_LINK)
        relay = asyncio.create_task(self.relay.run(state))
        try:
            while not relay.done() and not division.has_lost_part:
                await self.monitor.handle_next(division, relay)
            if not relay.done():
                state.exchange.post(self.part_lost_message(division))
            return await relay
        finally:
            relay.cancel()

    def part_lost_message(self, division):
        """Return the message that ends an attempt after the loss of a part."""
        endpoints = division.prompt.lost_endpoints() if division.prompt else ()
        return requests.Refused(
            division.state.work.request_id,
            division.state.attempt,
            Reason.ENDPOINT_LOST,
            STEP,
            ",".join(sorted(endpoints)),
            Outcome.UNKNOWN,
            detail="a part of the prompt was lost",
        )

    def submit_message(self, state, placed):
        """Return the `Submit` message of a generation, which prefills only one token."""
        submit = super().submit_message(state, placed)
        return attrs.evolve(submit, blocks=(), length_class=LengthClass.SHORT)

    def record_attempt(self, state, placed):
        """Record nothing: the engines' load reports include the memory of the parts."""
