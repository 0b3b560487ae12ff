"""The entry's side: plans a ticket before work is placed and settles it before a refusal."""

import asyncio
import uuid

import attrs
import msgspec

from persimmonstall.claims import outcomes, records, starting, writes
from persimmonstall.claims.planning import Replay, in_flight, plan
from persimmonstall.failures import Failure, Outcome, Reason, Refusal
from persimmonstall.messages.requests import ClaimTicket
from persimmonstall.outside.table import ABSENT

from ..entry.filter import Filter
from ..entry.request import Answer

MIN_TIMEOUT = 0.05
"""Shortest time-out of a call to the table, in seconds."""

SETTLE_SECONDS = 0.3
"""Time kept back before the deadline to give a claim up."""

SETTLE_SHARE = 0.1
"""Largest part of the remaining time that is kept back."""

TOKENS_TYPE = "application/vnd.persimmonstall.tokens"
"""Content type of a stored answer that consists of output tokens."""


@attrs.define
class Open:
    """One admitted request: its current `Work`, and the deadline that its caller gave."""

    work: object
    deadline: float


class ClaimFilter(Filter):
    """Plans tickets, gives generations up and fetches stored answers.

    `table` and `objects` are the platform's; a request's current ticket is kept in `open`
    until it is settled, since every attempt after the first needs a new one.
    """

    name = "claim"

    def __init__(self, entry, table, objects):
        self.timeout = entry.settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = entry.context
        self.invariants = entry.invariants
        self.metrics = entry.metrics
        self.open = {}

    def time_for(self, work):
        """Return the time-out of one call within the remaining time of `work`, in seconds."""
        remaining = work.deadline - self.context.now()
        return max(MIN_TIMEOUT, min(self.timeout, remaining))

    async def admit(self, work):
        """Return the work with its ticket, a stored `Answer`, or a `Refusal`.

        Idempotent work passes unchanged.  A non-idempotent call without a key gets one, which
        covers the entry's own retries; its caller's resends are different calls.
        """
        if work.idempotent:
            return work
        if work.key:
            admitted = await self.planned(work)
        else:
            admitted = self.with_made_key(work)
        if isinstance(admitted, Answer | Refusal):
            return admitted
        return self.opened(admitted)

    def opened(self, work):
        """Keep the admitted work and return it with time kept back for settling."""
        remaining = work.deadline - self.context.now()
        margin = min(SETTLE_SECONDS, SETTLE_SHARE * remaining)
        early = attrs.evolve(work, deadline=work.deadline - margin)
        self.open[work.request_id] = Open(early, work.deadline)
        return early

    def with_made_key(self, work):
        """Return the work with a key and a ticket; nobody else can have claimed that key."""
        key = uuid.UUID(int=self.context.random.getrandbits(128)).hex
        key_row = records.row_key(work.organisation, key)
        ticket = ClaimTicket(key_row, 1, work.body_hash, ABSENT, self.context.wall())
        return attrs.evolve(work, key=key, key_made=True, ticket=ticket)

    async def planned(self, work):
        """Return the work with the ticket planned from its row, an `Answer` or `Refusal`."""
        key_row = records.row_key(work.organisation, work.key)
        row = await self.table.read(records.TABLE, key_row, self.time_for(work))
        if isinstance(row, Failure):
            return outcomes.table_refusal(work, row)
        made = plan(row, key_row, work.key, work.body_hash, self.context.wall())
        if isinstance(made, ClaimTicket):
            return attrs.evolve(work, ticket=made)
        return await self.fetched(work, made)

    async def settle(self, work, outcome):
        """Return what to tell the caller of work that was not served."""
        opened = self.open.pop(work.request_id, None)
        if opened is None or isinstance(outcome, Answer):
            return outcome
        give_up = await self.give_up_by(opened.work, opened.deadline)
        return await self.told(opened.work, outcome, give_up)

    async def renew(self, work, refusal):
        """Make sure that the last attempt cannot start; return the work with a new ticket.

        Otherwise return the stored `Answer` or the `Refusal` to tell: a hand-over whose
        outcome is not known is never repeated.
        """
        if work.idempotent:
            return work
        opened = self.open.pop(work.request_id)
        give_up = await self.give_up_by(opened.work, opened.deadline)
        if give_up.state is not starting.GiveUpState.NOT_RUN:
            return await self.told(opened.work, refusal, give_up)
        ticket = outcomes.next_ticket(opened.work.ticket, give_up, self.context.wall())
        opened.work = attrs.evolve(opened.work, ticket=ticket)
        self.open[work.request_id] = opened
        return opened.work

    async def give_up_by(self, work, deadline):
        """Try to give the ticket's generation up before `deadline`; return the `GiveUp`."""
        remaining = max(MIN_TIMEOUT, deadline - self.context.now())
        try:
            async with asyncio.timeout(remaining):
                return await self.give_up(work)
        except TimeoutError:
            return starting.GiveUp(starting.GiveUpState.UNSURE)

    async def give_up(self, work):
        """Take the steps of a give-up until it is decided; return the `GiveUp`."""
        give_up = starting.GiveUp()
        while not give_up.done:
            answer = await self.give_up_step(work, give_up)
            give_up = starting.advance_give_up(give_up, answer, work.ticket)
        self.metrics.count("claims_given_up", tag=str(give_up.state))
        return give_up

    async def give_up_step(self, work, give_up):
        """Carry out the next step of a give-up; return the table's answer."""
        timeout = self.time_for(work)
        if give_up.state is starting.GiveUpState.READ:
            return await self.table.read(records.TABLE, work.ticket.row, timeout)
        write = writes.give_up_write(work.ticket, self.context.wall())
        return await self.table.commit((write,), timeout)

    async def told(self, work, refusal, give_up):
        """Return the `Answer` or `Refusal` for the caller after a give-up."""
        made = await self.fetched(work, outcomes.after_give_up(work, refusal, give_up))
        self.check(work, refusal, give_up, made)
        return made

    async def fetched(self, work, made):
        """Return a `Replay` as an `Answer` with its body, or `made` when it is a refusal."""
        if not isinstance(made, Replay):
            return made
        body = made.answer.body
        if made.answer.object_name:
            body = await self.objects.get(made.answer.object_name, self.time_for(work))
        if body is None or isinstance(body, Failure):
            return missing_answer(work)
        return stored_answer(made.answer, body)

    def check(self, work, refusal, give_up, told):
        """Assert that "not run" is told only with proof."""
        if not isinstance(told, Refusal) or told.outcome is not Outcome.NOT_RUN:
            return
        own_word = work.key_made and refusal.outcome is Outcome.NOT_RUN
        proved = give_up.state is starting.GiveUpState.NOT_RUN or own_word
        self.invariants.check("not_run_is_proved", proved, work.request_id)


def stored_answer(answer, body):
    """Return the entry's `Answer` of a stored one."""
    if answer.content_type != TOKENS_TYPE:
        return Answer(
            0,
            "stop",
            status=answer.status,
            body=body,
            content_type=answer.content_type,
            stored=True,
        )
    finish, tokens = msgspec.msgpack.decode(body, type=tuple[str, tuple[int, ...]])
    return Answer(len(tokens), finish, stored=True, tokens=tokens)


def missing_answer(work):
    """Return the refusal of finished work whose stored answer is out of reach."""
    refusal = in_flight(work.key, "objects")
    detail = "the request has run; its stored answer is out of reach"
    return attrs.evolve(refusal, reason=Reason.STORE_DOWN, detail=detail)
