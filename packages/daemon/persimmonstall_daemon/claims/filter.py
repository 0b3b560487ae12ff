"""The entry's side: reads the claim before work is placed and settles it before a refusal."""

import attrs

from persimmonstall.claims import records, settling, starting, writes
from persimmonstall.claims.planning import Replay, in_flight, plan
from persimmonstall.failures import Failure, Outcome, Reason, Refusal
from persimmonstall.messages.requests import Ticket

LEAST_TIMEOUT = 0.05
"""Shortest time-out of a call to the table, in seconds."""


class ClaimFilter:
    """Plans tickets, gives generations up and fetches stored answers."""

    def __init__(self, settings, table, objects, context, invariants):
        self.timeout = settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = context
        self.invariants = invariants

    def time_for(self, work):
        """Return the time-out of one call within the remaining time of `work`, in seconds."""
        remaining = work.deadline - self.context.now()
        return max(LEAST_TIMEOUT, min(self.timeout, remaining))

    async def claim(self, work):
        """Return `work` with its ticket, a stored `Answer`, or a `Refusal`.

        Idempotent work passes unchanged.
        """
        if work.idempotent:
            return work
        key_row = records.row_key(work.organisation, work.key)
        row = await self.table.read(records.TABLE, key_row, self.time_for(work))
        if isinstance(row, Failure):
            return settling.table_refusal(work, row)
        made = plan(row, key_row, work.key, work.body_hash, self.context.wall())
        if isinstance(made, Ticket):
            return attrs.evolve(work, ticket=made)
        return await self.fetched(work, made)

    async def settle(self, work, refusal):
        """Return what to tell the caller of refused `work`: a `Refusal` or stored `Answer`."""
        if work.idempotent:
            return refusal
        if work.ticket is None:
            return settling.before_claim(work, refusal)
        give_up = await self.give_up(work)
        told = await self.fetched(work, settling.after_give_up(work, refusal, give_up))
        self.check(work, refusal, give_up, told)
        return told

    async def renew(self, work, refusal):
        """Make sure that the last attempt cannot start; return `work` with a new ticket.

        Otherwise return the stored `Answer` or the `Refusal` to tell: a hand-over whose
        outcome is not known is never repeated.
        """
        if work.idempotent:
            return work
        give_up = await self.give_up(work)
        if give_up.standing is not starting.Standing.NOT_RUN:
            return await self.fetched(work, settling.after_give_up(work, refusal, give_up))
        ticket = settling.next_ticket(work.ticket, give_up, self.context.wall())
        return attrs.evolve(work, ticket=ticket)

    async def give_up(self, work):
        """Try to write "given up" for the ticket's generation; return the `GiveUp`."""
        give_up = starting.GiveUp()
        while not give_up.done:
            answer = await self.give_up_step(work, give_up)
            give_up = starting.advance_give_up(give_up, answer, work.ticket)
        return give_up

    async def give_up_step(self, work, give_up):
        """Carry out the next step of a give-up; return the table's answer."""
        timeout = self.time_for(work)
        if give_up.standing is starting.Standing.READ:
            return await self.table.read(records.TABLE, work.ticket.row, timeout)
        write = writes.give_up_write(work.ticket, self.context.wall())
        return await self.table.commit((write,), timeout)

    async def fetched(self, work, made):
        """Return a `Replay`'s answer with its body, or `made` when it is a refusal."""
        if not isinstance(made, Replay):
            return made
        answer = made.answer
        if not answer.object_name:
            return answer
        body = await self.objects.get(answer.object_name, self.time_for(work))
        if body is None or isinstance(body, Failure):
            return missing_answer(work)
        return attrs.evolve(answer, body=body, object_name="")

    def check(self, work, refusal, give_up, told):
        """Assert that "not run" is told only with proof."""
        if not isinstance(told, Refusal) or told.outcome is not Outcome.NOT_RUN:
            return
        own_word = work.key_made and refusal.outcome is Outcome.NOT_RUN
        proved = give_up.standing is starting.Standing.NOT_RUN or own_word
        self.invariants.check("not_run_is_proved", proved, work.request_id)


def missing_answer(work):
    """Return the refusal of finished work whose stored answer is out of reach."""
    refusal = in_flight(work.key, "objects")
    detail = "the request has run; its stored answer is out of reach"
    return attrs.evolve(refusal, reason=Reason.STORE_DOWN, detail=detail)
