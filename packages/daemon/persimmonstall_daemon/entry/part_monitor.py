"""Handles the messages about the parts of divided prompts and replaces lost parts."""

import asyncio

from persimmonstall.failures import Reason
from persimmonstall.memory.long_prompt import RESERVATION_SECONDS, PartState
from persimmonstall.messages import control, requests

from .exchange import LinkUp

TICK_SECONDS = 0.25
"""Maximum interval between checks of the parts of a prompt."""

ANSWER_TIMEOUT_SECONDS = 1.0
"""Time within which an endpoint daemon must answer a reservation or a renewal."""

REPAIR_SECONDS = 4.0
"""Time to find memory for a lost part before all parts are released."""


class PartMonitor:
    """Keeps the parts of divided prompts alive.

    `planner` is the entry's `DivisionPlanner` and `commands` its `PartCommands`.
    """

    def __init__(self, entry, planner, commands):
        self.entry = entry
        self.planner = planner
        self.commands = commands

    def now(self):
        """Return the entry's monotonic time in seconds."""
        return self.entry.context.now()

    async def handle_next(self, division, task=None):
        """Handle the next message and check the parts; returns early if `task` is done."""
        getter = asyncio.ensure_future(division.mailbox.get())
        awaited = {getter, task} if task else {getter}
        timeout = min(TICK_SECONDS, max(0.0, self.entry.remaining(division.state.work)))
        try:
            await asyncio.wait(awaited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            if getter.done():
                self.handle(division, getter.result())
        finally:
            getter.cancel()
        self.check_parts(division, generating=task is not None)

    def handle(self, division, message):
        """Handle one message about a part."""
        prompt = division.prompt
        if prompt is None:
            return
        if isinstance(message, control.Reserved):
            self.on_reserved(division, message)
        elif isinstance(message, requests.End):
            self.on_prefilled(division, message)
        elif isinstance(message, requests.Refused):
            division.avoided.add(message.peer)
            prompt.on_lost(message.request_id)
        elif isinstance(message, LinkUp):
            self.attach_parts(division, message)

    def on_reserved(self, division, answer):
        """Handle the answer to a reservation or a renewal."""
        now = self.now()
        if not answer.reason:
            division.confirmed_at[answer.reservation] = now
        self.commands.execute(division, division.prompt.on_reserved(answer, now))

    def on_prefilled(self, division, end):
        """Handle the end of the prefill of a part."""
        now = self.now()
        prompt = division.prompt
        self.planner.record_prefill(prompt.find(end.request_id))
        job_id = end.body.decode()
        self.commands.execute(division, prompt.on_prefilled(end.request_id, job_id, now))

    def attach_parts(self, division, link_up):
        """Attach over a new link to the prefills that continued while the link was down."""
        for part in division.prompt.in_state(PartState.PREFILLING):
            exchange = division.exchanges.get(part.reservation)
            if exchange and exchange.instance == link_up.instance:
                left = self.entry.remaining(division.state.work)
                attach = requests.Attach(part.reservation, 1, 0, left)
                self.entry.links.send(part.endpoint, attach)

    def check_parts(self, division, generating):
        """Renew reservations, detect lost parts and reassign them unless `generating`."""
        prompt = division.prompt
        if prompt is None:
            return
        now = self.now()
        self.time_out_reservations(division, prompt, now)
        self.expire_parts(division, prompt, now)
        if now >= division.renew_at:
            self.commands.renew(division)
        if division.prompt is prompt and not generating:
            self.repair(division)

    def time_out_reservations(self, division, prompt, now):
        """Release the reservations that were not answered in time and count them as refused."""
        for part in prompt.in_state(PartState.REQUESTED):
            if now - part.requested_at > ANSWER_TIMEOUT_SECONDS:
                timed_out = control.Reserved(part.reservation, part.endpoint, Reason.PEER_LOST)
                self.commands.send(control.Release(part.reservation, part.endpoint))
                self.commands.execute(division, prompt.on_reserved(timed_out, now))

    def expire_parts(self, division, prompt, now):
        """Mark the parts as lost whose reservations have expired without a renewal."""
        for part in prompt.parts:
            confirmed_at = division.confirmed_at.get(part.reservation, now)
            if part.state is not PartState.REQUESTED and now - confirmed_at > RESERVATION_SECONDS:
                prompt.on_lost(part.reservation)

    def repair(self, division):
        """Reassign lost parts to other engines; release all parts after `REPAIR_SECONDS`."""
        prompt = division.prompt
        if not prompt.in_state(PartState.LOST):
            division.lost_at = 0.0
            return
        now = self.now()
        division.lost_at = division.lost_at or now
        engines = self.planner.substitutes(division)
        self.commands.execute(division, prompt.reassign_lost(engines, now))
        if prompt.in_state(PartState.LOST) and now - division.lost_at > REPAIR_SECONDS:
            self.commands.release(division)

    async def confirm_parts(self, division, delay):
        """After a failed attempt, renew the held parts; mark those as lost that do not answer.

        Waits at least `delay` seconds, the delay before the next attempt.
        """
        if division.prompt is None:
            return
        asked_at = self.now()
        self.commands.renew(division)
        held = {part.reservation for part in division.prompt.in_state(PartState.HELD)}
        while self.now() < asked_at + max(delay, ANSWER_TIMEOUT_SECONDS):
            answered = all(division.confirmed_at.get(name, 0.0) > asked_at for name in held)
            if answered and self.now() >= asked_at + delay:
                return
            await self.handle_next(division)
            if division.prompt is None:
                return
        for name in held:
            if division.confirmed_at.get(name, 0.0) < asked_at:
                division.prompt.on_lost(name)
