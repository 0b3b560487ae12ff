"""The endpoint's side of claims: acquires them before the hand-over, stores the answers."""

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
"""Step of every failure that proves that nothing was handed over."""

INLINE_BYTES = 16_384
"""Longest answer that is stored in the row itself; longer ones go to the object store."""

MAX_QUEUED_WRITES = 1_024
"""Capacity of the queue of writes; further ones are dropped and counted."""

RETRY_SECONDS = 0.5
"""Mean delay between attempts of a queued write."""


@attrs.frozen
class HeldClaim:
    """A claim held by this daemon: its row is "started" by `attempt` and has `version`."""

    ticket: ClaimTicket
    attempt: str
    version: int


@attrs.frozen
class QueuedAnswer:
    """An answer that is still to be stored."""

    held_claim: HeldClaim
    answer: records.Answer


@attrs.frozen
class QueuedAbandon:
    """An attempt that was not handed over and whose claim is still to be given up.

    The claim's row is set to "given up" if it is unchanged since the ticket was issued, or if
    this attempt has set it to "started".
    """

    ticket: ClaimTicket
    attempt: str


class ClaimManager:
    """Starts and finishes claims for the endpoints of one daemon.

    `run` is unique to this process, which distinguishes the attempts of two daemons that
    serve the same endpoint.
    """

    def __init__(self, settings, table, objects, context, run):
        self.timeout = settings.platform.timeout
        self.table = table
        self.objects = objects
        self.context = context
        self.run = run
        self.start_count = 0
        self.dropped_writes = 0
        self.writes_in_progress = 0
        self.queue = asyncio.Queue(MAX_QUEUED_WRITES)

    def call_timeout(self, deadline):
        """Return the timeout of one call before `deadline` (local clock), in seconds."""
        return max(MIN_TIMEOUT, min(self.timeout, deadline - self.context.now()))

    def attempt_id(self, request_id, attempt):
        """Return an id that is unique over all calls of `start` on all daemons."""
        self.start_count += 1
        return f"{request_id}/{attempt}/{self.run}/{self.start_count}"

    async def start(self, ticket, request_id, attempt, endpoint, deadline):
        """Start the ticket's generation; return `HeldClaim`, or a `Failure` if it must not run.

        Given a `HeldClaim`, the caller must hand the work over to the endpoint at once, without
        waiting for anything else.
        """
        if ticket is None:
            return Failure(Reason.BAD_REQUEST, STEP, endpoint, "the attempt has no claim ticket")
        if ticket_expired(ticket.issued, self.context.wall()):
            return outcomes.deadline_failure(endpoint)
        attempt_id = self.attempt_id(request_id, attempt)
        progress = await self.run_start(ticket, attempt_id, endpoint, deadline)
        if progress.phase is not starting.Phase.WON:
            return self.start_failure(ticket, attempt_id, endpoint, progress)
        if self.context.now() >= deadline:
            self.enqueue(QueuedAbandon(ticket, attempt_id))
            return outcomes.deadline_failure(endpoint)
        return HeldClaim(ticket, attempt_id, progress.version)

    async def run_start(self, ticket, attempt_id, endpoint, deadline):
        """Carry out the steps of a start until it is decided; return the `Progress`."""
        progress = starting.Progress()
        while not progress.done:
            answer = await self.start_step(progress, ticket, attempt_id, endpoint, deadline)
            progress = starting.advance_start(progress, answer, ticket, attempt_id)
        return progress

    async def start_step(self, progress, ticket, attempt_id, endpoint, deadline):
        """Carry out the next step of a start; return the table's answer."""
        timeout = self.call_timeout(deadline)
        if progress.phase in (starting.Phase.READ, starting.Phase.FENCE_READ):
            return await self.table.read(records.TABLE, ticket.row, timeout)
        wall = self.context.wall()
        write = writes.start_write(ticket, attempt_id, endpoint, wall)
        if progress.phase is starting.Phase.FENCE:
            write = writes.give_up_write(ticket, wall)
        return await self.table.commit((write,), timeout)

    def start_failure(self, ticket, attempt_id, endpoint, progress):
        """Return the `Failure` of a start that did not end as won."""
        if progress.phase is starting.Phase.UNSURE and progress.dirty:
            self.enqueue(QueuedAbandon(ticket, attempt_id))
        reason = REASONS[progress.phase]
        return Failure(
            reason, STEP, endpoint, f"start of the claim ended as {progress.phase.value}"
        )

    @property
    def pending_writes(self):
        """Number of writes that a graceful shutdown has to wait for."""
        return self.writes_in_progress + self.queue.qsize()

    async def acquire(self, attempt, endpoint):
        """Acquire the claim of an `Attempt`, if it needs one, just before its hand-over.

        Return True for idempotent work, else `HeldClaim` or a `Failure`.  If the attempt ended
        while the table was called, the claim is abandoned.
        """
        submit = attempt.submit
        if submit.idempotent:
            return True
        held_claim = await self.start(
            submit.ticket, submit.request_id, submit.attempt, endpoint, attempt.deadline
        )
        if isinstance(held_claim, Failure):
            return held_claim
        if attempt.ended:
            await self.abandon(held_claim)
            return Failure(
                Reason.CANCELLED, STEP, endpoint, "the attempt ended before the hand-over"
            )
        attempt.held_claim = held_claim
        return held_claim

    async def finish_tokens(self, held_claim, finish, tokens):
        """Store the output tokens of a complete answer."""
        body = msgspec.msgpack.encode((str(finish), tuple(tokens)))
        await self.finish(held_claim, 200, TOKENS_TYPE, body)

    async def finish(self, held_claim, status, content_type, body):
        """Store the answer, or queue it when a store is unreachable."""
        name = "" if len(body) <= INLINE_BYTES else object_name(held_claim.ticket)
        answer = records.Answer(status, content_type, body, name)
        queued = QueuedAnswer(held_claim, answer)
        if not await self.count_pending(self.store(queued)):
            self.enqueue(queued)

    async def count_pending(self, write):
        """Await `write`, which counts as pending until it is done."""
        self.writes_in_progress += 1
        try:
            return await write
        finally:
            self.writes_in_progress -= 1

    async def abandon(self, held_claim):
        """Give up a claim whose call certainly did not reach the back end."""
        write = writes.abandon_write(held_claim.ticket, held_claim.version, self.context.wall())
        answer = await self.count_pending(self.table.commit((write,), self.timeout))
        if isinstance(answer, Failure):
            self.enqueue(QueuedAbandon(held_claim.ticket, held_claim.attempt))

    def enqueue(self, item):
        """Queue a write; if it is dropped, the outcome stays unknown but is never wrong."""
        try:
            self.queue.put_nowait(item)
        except asyncio.QueueFull:
            self.dropped_writes += 1

    async def run_queue(self):
        """Carry out queued writes one after the other until cancelled."""
        while True:
            item = await self.queue.get()
            while not await self.count_pending(self.execute(item)):
                await asyncio.sleep(self.context.jitter(RETRY_SECONDS))

    async def execute(self, item):
        """Attempt one queued write; return False when it has to be repeated."""
        if isinstance(item, QueuedAnswer):
            return await self.store(item)
        return await self.give_up_own(item)

    async def store(self, item):
        """Write the object of a long answer, then the row; return False if either fails."""
        answer = item.answer
        if answer.object_name:
            put = await self.objects.put(answer.object_name, answer.body, self.timeout)
            if not put:
                return False
            answer = attrs.evolve(answer, body=b"")
        held_claim = item.held_claim
        wall = self.context.wall()
        write = writes.finish_write(
            held_claim.ticket, held_claim.version, held_claim.attempt, answer, wall
        )
        done = await self.table.commit((write,), self.timeout)
        return isinstance(done, Committed | Conflict)

    async def give_up_own(self, item):
        """Change an own "started" row to "given up"; return False when it has to be repeated."""
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
"""Reason of the failure by the final phase of a start that was not won."""


def object_name(ticket):
    """Return the name of the object that stores a long answer."""
    return f"claims/{ticket.row}/{ticket.generation}"


def own_version(row, attempt):
    """Return the version of the row if `attempt` holds it, else None."""
    claim = None if row is None else records.decode_claim(row.value)
    if isinstance(claim, records.Started) and claim.attempt == attempt:
        return row.version
    return None
