"""The entry's side of claims: plans tickets for attempts and gives claims up afterwards."""

import asyncio
import uuid

import attrs
import msgspec

from persimmonstall.claims import outcomes, records, starting, writes
from persimmonstall.claims.planning import Replay, in_flight, plan_keyed_request
from persimmonstall.failures import Failure, Outcome, Reason, Refusal
from persimmonstall.messages.requests import ClaimTicket
from persimmonstall.outside.table import ABSENT

from ..entry.filter import Filter
from ..entry.request import Answer

MIN_TIMEOUT = 0.05
"""Shortest timeout of a call to the table, in seconds."""

SETTLE_SECONDS = 0.3
"""Time reserved before the deadline for giving a claim up, in seconds."""

SETTLE_SHARE = 0.1
"""Largest share of the remaining time that is reserved."""

TOKENS_TYPE = "application/vnd.persimmonstall.tokens"
"""Content type of a stored answer that consists of tokens."""


@attrs.define
class OpenRequest:
    """One admitted request: its current `Work` and the deadline set by its caller."""

    work: object
    deadline: float


class ClaimFilter(Filter):
    """Plans tickets, gives claims up and fetches stored answers.

    `table` and `objects` are the platform's stores.  `open_requests` holds the current ticket
    of each request until it is settled, since every attempt after the first needs a new one.
    The claims on a key are numbered by their generation: one that was given up can no longer be
    started, and the next attempt claims the one after it.
    """

    name = "claim"

    def __init__(self, entry, table, objects):
        self.timeout = entry.settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = entry.context
        self.invariants = entry.invariants
        self.metrics = entry.metrics
        self.open_requests = {}

    def call_timeout(self, work):
        """Return the timeout of one call within the remaining time of `work`, in seconds."""
        remaining = work.deadline - self.context.now()
        return max(MIN_TIMEOUT, min(self.timeout, remaining))

    async def admit(self, work):
        """Return the work with its ticket, a stored `Answer`, or a `Refusal`.

        Idempotent work passes unchanged.  A non-idempotent call without a key gets a generated
        one, which covers the entry's own retries; if its caller resends the call, it counts
        as another call.
        """
        if work.idempotent:
            return work
        if work.key:
            admitted = await self.plan_ticket(work)
        else:
            admitted = self.with_generated_key(work)
        if isinstance(admitted, Answer | Refusal):
            return admitted
        return self.record_open(admitted)

    def record_open(self, work):
        """Record the admitted work; return it with a deadline that leaves time to settle."""
        remaining = work.deadline - self.context.now()
        margin = min(SETTLE_SECONDS, SETTLE_SHARE * remaining)
        early = attrs.evolve(work, deadline=work.deadline - margin)
        self.open_requests[work.request_id] = OpenRequest(early, work.deadline)
        return early

    def with_generated_key(self, work):
        """Return the work with a generated key and a ticket; no claim on that key can exist."""
        key = uuid.UUID(int=self.context.random.getrandbits(128)).hex
        key_row = records.row_key(work.organisation, key)
        ticket = ClaimTicket(key_row, 1, work.body_hash, ABSENT, self.context.wall())
        return attrs.evolve(work, key=key, key_made=True, ticket=ticket)

    async def plan_ticket(self, work):
        """Return the work with the ticket planned from its row, an `Answer` or a `Refusal`."""
        key_row = records.row_key(work.organisation, work.key)
        row = await self.table.read(records.TABLE, key_row, self.call_timeout(work))
        if isinstance(row, Failure):
            return outcomes.table_refusal(work, row)
        decision = plan_keyed_request(row, key_row, work.key, work.body_hash, self.context.wall())
        if isinstance(decision, ClaimTicket):
            return attrs.evolve(work, ticket=decision)
        return await self.fetch_replay(work, decision)

    async def settle(self, work, outcome):
        """Give up the claim of work that was not served; return the outcome for its caller."""
        opened = self.open_requests.pop(work.request_id, None)
        if opened is None or isinstance(outcome, Answer):
            return outcome
        give_up = await self.give_up_by(opened.work, opened.deadline)
        return await self.outcome_for_caller(opened.work, outcome, give_up)

    async def renew(self, work, refusal):
        """Ensure that the last attempt cannot start; return the work with a new ticket.

        If that is not possible, return the stored `Answer` or the `Refusal` for the caller: a
        hand-over whose outcome is unknown is never repeated.
        """
        if work.idempotent:
            return work
        opened = self.open_requests.pop(work.request_id)
        give_up = await self.give_up_by(opened.work, opened.deadline)
        if give_up.state is not starting.GiveUpState.NOT_RUN:
            return await self.outcome_for_caller(opened.work, refusal, give_up)
        ticket = outcomes.next_ticket(opened.work.ticket, give_up, self.context.wall())
        opened.work = attrs.evolve(opened.work, ticket=ticket)
        self.open_requests[work.request_id] = opened
        return opened.work

    async def give_up_by(self, work, deadline):
        """Give the ticket's generation up; return the `GiveUp`, `UNSURE` after `deadline`."""
        remaining = max(MIN_TIMEOUT, deadline - self.context.now())
        try:
            async with asyncio.timeout(remaining):
                return await self.give_up(work)
        except TimeoutError:
            return starting.GiveUp(starting.GiveUpState.UNSURE)

    async def give_up(self, work):
        """Carry out the steps of a give-up until it is decided; return the `GiveUp`."""
        give_up = starting.GiveUp()
        while not give_up.done:
            answer = await self.give_up_step(work, give_up)
            give_up = starting.advance_give_up(give_up, answer, work.ticket)
        self.metrics.count("claims_given_up", tag=str(give_up.state))
        return give_up

    async def give_up_step(self, work, give_up):
        """Carry out the next step of a give-up; return the table's answer."""
        timeout = self.call_timeout(work)
        if give_up.state is starting.GiveUpState.READ:
            return await self.table.read(records.TABLE, work.ticket.row, timeout)
        write = writes.give_up_write(work.ticket, self.context.wall())
        return await self.table.commit((write,), timeout)

    async def outcome_for_caller(self, work, refusal, give_up):
        """Return the `Answer` or `Refusal` for the caller after a give-up was decided."""
        decision = await self.fetch_replay(work, outcomes.after_give_up(work, refusal, give_up))
        self.check(work, refusal, give_up, decision)
        return decision

    async def fetch_replay(self, work, decision):
        """Return a `Replay` as an `Answer` with its body; return a refusal unchanged."""
        if not isinstance(decision, Replay):
            return decision
        body = decision.answer.body
        if decision.answer.object_name:
            body = await self.objects.get(decision.answer.object_name, self.call_timeout(work))
        if body is None or isinstance(body, Failure):
            return missing_answer(work)
        return stored_answer(decision.answer, body)

    def check(self, work, refusal, give_up, result):
        """Check that "not run" is reported only when it is proved."""
        if not isinstance(result, Refusal) or result.outcome is not Outcome.NOT_RUN:
            return
        known_not_run = work.key_made and refusal.outcome is Outcome.NOT_RUN
        proved = give_up.state is starting.GiveUpState.NOT_RUN or known_not_run
        self.invariants.check("not_run_is_proved", proved, work.request_id)


def stored_answer(answer, body):
    """Return the `Answer` to replay, from the claim's stored `answer` and its `body`."""
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
    """Return the refusal of finished work whose stored answer cannot be read."""
    refusal = in_flight(work.key, "objects")
    detail = "the request has run; its stored answer cannot be read now"
    return attrs.evolve(refusal, reason=Reason.STORE_DOWN, detail=detail)
