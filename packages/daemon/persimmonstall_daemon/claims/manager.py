"""The endpoint's side: wins the claim just before the hand-over and stores the answer."""

import asyncio

import attrs
import msgspec

from persimmonstall.claims import outcomes, records, starting, writes
from persimmonstall.claims.retention import ticket_expired
from persimmonstall.failures import Failure, Reason
from persimmonstall.messages.requests import ClaimTicket
from persimmonstall.outside.table import Committed, Conflict

from .filter import MIN_TIMEOUT, TOKENS_TYPE

STEP = outcomes.STEP
"""Step of every failure that says that nothing was handed over."""

INLINE_BYTES = 16_384
"""Longest answer kept in the row itself."""

QUEUED_WRITES = 1_024
"""Most writes that wait for the table; further ones are dropped and counted."""

RETRY_SECONDS = 0.5
"""Mean time between tries of a queued write."""


@attrs.frozen
class Won:
    """A claim that this daemon holds: the row is "started" by `attempt` at `version`."""

    ticket: ClaimTicket
    attempt: str
    version: int


@attrs.frozen
class QueuedAnswer:
    """A finished answer that is still to be stored."""

    won: Won
    answer: records.Answer


@attrs.frozen
class QueuedAbandon:
    """An attempt that was not handed over; its "started" is taken back if it exists."""

    ticket: ClaimTicket
    attempt: str


class ClaimManager:
    """Starts and finishes claims for the endpoints of one daemon.

    `run` is unique to this process, so that attempts of two daemons beside one endpoint are
    never taken for each other.
    """

    def __init__(self, settings, table, objects, context, run):
        self.timeout = settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = context
        self.run = run
        self.starts = 0
        self.dropped = 0
        self.writing = 0
        self.queue = asyncio.Queue(QUEUED_WRITES)

    def time_until(self, deadline):
        """Return the time-out of one call before `deadline` (local clock), in seconds."""
        return max(MIN_TIMEOUT, min(self.timeout, deadline - self.context.now()))

    def attempt_id(self, request_id, attempt):
        """Return an id that no other call of `start` anywhere ever uses."""
        self.starts += 1
        return f"{request_id}/{attempt}/{self.run}/{self.starts}"

    async def start(self, ticket, request_id, attempt, endpoint, deadline):
        """Win the ticket's generation: `Won`, or a `Failure` that nothing was handed over.

        The caller hands over at once after `Won`, without waiting for anything else.
        """
        if ticket is None:
            return Failure(Reason.BAD_REQUEST, STEP, endpoint, "no ticket")
        if ticket_expired(ticket.issued, self.context.wall()):
            return outcomes.too_late(endpoint)
        attempt_id = self.attempt_id(request_id, attempt)
        progress = await self.contend(ticket, attempt_id, endpoint, deadline)
        if progress.phase is not starting.Phase.WON:
            return self.not_won(ticket, attempt_id, endpoint, progress)
        if self.context.now() >= deadline:
            self.enqueue(QueuedAbandon(ticket, attempt_id))
            return outcomes.too_late(endpoint)
        return Won(ticket, attempt_id, progress.version)

    async def contend(self, ticket, attempt_id, endpoint, deadline):
        """Take the steps of the start until it is decided; return the `Progress`."""
        progress = starting.Progress()
        while not progress.done:
            answer = await self.start_step(progress, ticket, attempt_id, endpoint, deadline)
            progress = starting.advance_start(progress, answer, ticket, attempt_id)
        return progress

    async def start_step(self, progress, ticket, attempt_id, endpoint, deadline):
        """Carry out the next step of a start; return the table's answer."""
        timeout = self.time_until(deadline)
        if progress.phase in (starting.Phase.READ, starting.Phase.FENCE_READ):
            return await self.table.read(records.TABLE, ticket.row, timeout)
        wall = self.context.wall()
        write = writes.start_write(ticket, attempt_id, endpoint, wall)
        if progress.phase is starting.Phase.FENCE:
            write = writes.give_up_write(ticket, wall)
        return await self.table.commit((write,), timeout)

    def not_won(self, ticket, attempt_id, endpoint, progress):
        """Return the `Failure` of a start that was not won."""
        if progress.phase is starting.Phase.UNSURE and progress.dirty:
            self.enqueue(QueuedAbandon(ticket, attempt_id))
        reason = REASONS[progress.phase]
        return Failure(reason, STEP, endpoint, f"start was {progress.phase.value}")

    @property
    def pending(self):
        """Writes that a graceful shutdown has to wait for."""
        return self.writing + self.queue.qsize()

    async def win(self, attempt, endpoint):
        """Win the claim of an `Attempt`, if it needs one, just before its hand-over.

        Return True for idempotent work, `Won`, or a `Failure`; the attempt may have ended
        while the table was asked, and is then abandoned.
        """
        submit = attempt.submit
        if submit.idempotent:
            return True
        won = await self.start(
            submit.ticket, submit.request_id, submit.attempt, endpoint, attempt.deadline
        )
        if isinstance(won, Failure):
            return won
        if attempt.ended:
            await self.abandon(won)
            return Failure(Reason.CANCELLED, STEP, endpoint, "ended before the hand-over")
        attempt.won = won
        return won

    async def finish_tokens(self, won, finish, tokens):
        """Store the output tokens of a whole answer."""
        body = msgspec.msgpack.encode((str(finish), tuple(tokens)))
        await self.finish(won, 200, TOKENS_TYPE, body)

    async def finish(self, won, status, content_type, body):
        """Store the answer; queued when the table is out of reach."""
        name = "" if len(body) <= INLINE_BYTES else object_name(won.ticket)
        answer = records.Answer(status, content_type, body, name)
        queued = QueuedAnswer(won, answer)
        if not await self.counted(self.store(queued)):
            self.enqueue(queued)

    async def counted(self, write):
        """Await `write` and count it as pending meanwhile."""
        self.writing += 1
        try:
            return await write
        finally:
            self.writing -= 1

    async def abandon(self, won):
        """Take back a claim whose call certainly did not reach the back end."""
        write = writes.abandon_write(won.ticket, won.version, self.context.wall())
        answer = await self.counted(self.table.commit((write,), self.timeout))
        if isinstance(answer, Failure):
            self.enqueue(QueuedAbandon(won.ticket, won.attempt))

    def enqueue(self, item):
        """Keep a write for later; dropping one leaves the outcome unknown, never wrong."""
        try:
            self.queue.put_nowait(item)
        except asyncio.QueueFull:
            self.dropped += 1

    async def run_queue(self):
        """Carry out queued writes one after the other, for as long as the daemon lives."""
        while True:
            item = await self.queue.get()
            while not await self.counted(self.carry_out(item)):
                await asyncio.sleep(self.context.jitter(RETRY_SECONDS))

    async def carry_out(self, item):
        """Try one queued write; False when the table is out of reach."""
        if isinstance(item, QueuedAnswer):
            return await self.store(item)
        return await self.take_back(item)

    async def store(self, item):
        """Write the answer and then the row; False when either is out of reach."""
        answer = item.answer
        if answer.object_name:
            put = await self.objects.put(answer.object_name, answer.body, self.timeout)
            if not put:
                return False
            answer = attrs.evolve(answer, body=b"")
        won = item.won
        wall = self.context.wall()
        write = writes.finish_write(won.ticket, won.version, won.attempt, answer, wall)
        done = await self.table.commit((write,), self.timeout)
        return isinstance(done, Committed | Conflict)

    async def take_back(self, item):
        """Turn an own "started" into "given up"; False when it has to be tried again."""
        row = await self.table.read(records.TABLE, item.ticket.row, self.timeout)
        if isinstance(row, Failure):
            return False
        version = own_version(row, item.attempt)
        if version is None and starting.version_of(row) != item.ticket.expected:
            return True
        wall = self.context.wall()
        write = writes.give_up_write(item.ticket, wall)
        if version is not None:
            write = writes.abandon_write(item.ticket, version, wall)
        done = await self.table.commit((write,), self.timeout)
        return isinstance(done, Committed)


REASONS = {
    starting.Phase.LOST: Reason.KEY_IN_FLIGHT,
    starting.Phase.FENCED: Reason.GIVEN_UP,
    starting.Phase.UNSURE: Reason.TABLE_DOWN,
}
"""Reason of the failure for each end of a start that was not won."""


def object_name(ticket):
    """Return the name of the object that holds a long answer."""
    return f"claims/{ticket.row}/{ticket.generation}"


def own_version(row, attempt):
    """Return the version of the row if `attempt` holds it, else None."""
    claim = None if row is None else records.decode_claim(row.value)
    if isinstance(claim, records.Started) and claim.attempt == attempt:
        return row.version
    return None
