"""Maintains the memory ledger of one engine and reconciles it with the engine's job list.

Part of the engine backend's task: methods are called from that task only, and calls to the
engine run in tasks of their own, which post their results to the backend's inbox.
"""

import asyncio

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory.ledger import Allocation, AllocationKind, Ledger
from persimmonstall.memory.reconcile import Owner, Reconciler
from persimmonstall.memory.spans import expected_tokens, own_prompt_tokens

from .parking import ParkedStreams
from .reservations import Reservations

STEP = "memory"


@attrs.frozen
class Listing:
    """The engine's list of jobs and exports, requested at time `asked`."""

    states: tuple
    asked: float


class MemoryManager:
    """Accounts for the memory of the engine of an `EngineBackend`.

    `listed_instances` returns the names of the instances in the platform's list, or None while
    they are not known.
    """

    def __init__(self, backend):
        self.backend = backend
        self.daemon = backend.daemon
        settings = self.daemon.settings
        self.owner = Owner(settings.daemon.instance, self.daemon.run_id)
        self.ledger = Ledger(self.daemon.invariants)
        grace = settings.endpoints.unowned_grace
        self.reconciler = Reconciler(self.owner, grace, settings.callers.max_deadline + grace)
        self.listed_instances = lambda: None
        self.parked_streams = ParkedStreams(self)
        self.reservations = Reservations(self)
        self.handlers = {
            Listing: self.on_listing,
            **self.parked_streams.handlers,
            **self.reservations.handlers,
        }

    @property
    def call_timeout(self):
        """Timeout of a call to the engine, in seconds; two fit into `unowned_grace`."""
        endpoints = self.daemon.settings.endpoints
        return min(self.daemon.settings.platform.timeout, endpoints.unowned_grace / 2)

    async def run(self):
        """Request the engine's list for comparison, at start and then at intervals."""
        endpoints = self.daemon.settings.endpoints
        while True:
            asked = self.backend.now()
            states = await self.backend.engine.jobs(self.call_timeout)
            if not isinstance(states, Failure):
                self.backend.post(Listing(states, asked))
            await asyncio.sleep(self.daemon.context.jitter(endpoints.ledger_poll))

    # Calls by the backend.

    def admit(self, submit):
        """Return None if an attempt can fit this engine at all, else the `Failure`."""
        if submit.segment_end:
            return self.reservations.check(submit)
        wanted = expected_tokens(submit)
        if not self.ledger.fits_empty_engine(wanted):
            detail = f"{wanted} tokens of memory needed; the engine has {self.ledger.capacity}"
            return Failure(Reason.NO_MEMORY, STEP, self.backend.name, detail)
        return None

    def has_room(self, waiting):
        """Return whether a queued attempt fits now; memory of segments is already reserved."""
        submit = waiting.submit
        if submit.segment_end or self.reservations.reservation_with_output(submit):
            return True
        return self.ledger.fits(waiting.memory)

    def add_allocation(self, attempt):
        """Add the allocation of an admitted attempt, before its job is submitted."""
        submit = attempt.submit
        if submit.segment_end:
            self.ledger.assign_job(submit.request_id, attempt.job_id)
            return
        self.reservations.shrink_to_segment(submit)
        base = own_prompt_tokens(submit)
        self.ledger.add(
            Allocation(
                name=attempt.job_id,
                owner=submit.request_id,
                kind=AllocationKind.STREAM,
                base=base,
                expected=base + max(submit.predicted_tokens, len(submit.relayed)),
                maximum=base + submit.max_tokens,
                expires_at=attempt.deadline + self.daemon.settings.endpoints.unowned_grace,
                priority=submit.priority,
                job_id=attempt.job_id,
                actual=base + attempt.send_buffer.end_offset,
                parkable=not submit.segments,
            )
        )
        attempt.allocation_name = attempt.job_id

    def job_renamed(self, attempt):
        """Record the new job id of an attempt."""
        if attempt.allocation_name in self.ledger.allocations:
            self.ledger.assign_job(attempt.allocation_name, attempt.job_id)

    def confirm_job(self, attempt):
        """Record that the engine has accepted an attempt's job."""
        self.ledger.confirm(self.name_of(attempt), self.backend.now())

    def name_of(self, attempt):
        """Return the name of an attempt's allocation."""
        return attempt.allocation_name or attempt.submit.request_id

    def record_growth(self, attempt):
        """Record the growth of an attempt's output."""
        allocation = self.ledger.allocations.get(attempt.allocation_name)
        if allocation:
            self.ledger.grow(allocation.name, allocation.base + attempt.send_buffer.end_offset)

    def release(self, attempt):
        """Free the memory of an attempt that has ended and resume parked streams."""
        if attempt.allocation_name:
            self.ledger.remove(attempt.allocation_name)
            self.parked_streams.forget(attempt)
            self.parked_streams.resume_parked()

    def park_if_short_of_memory(self):
        """Park streams when memory runs short."""
        self.parked_streams.park_if_short_of_memory()

    def engine_died(self):
        """Clear the ledger; the backend ends the attempts."""
        for name in list(self.ledger.allocations):
            self.ledger.remove(name)
        self.parked_streams.tickets.clear()
        self.ledger.unowned_tokens = 0

    def pending_count(self):
        """Return the number of segments that a graceful shutdown has to wait for."""
        return sum(
            held.kind is AllocationKind.SEGMENT for held in self.ledger.allocations.values()
        )

    # Reconciliation.

    def on_listing(self, listing, _session):
        """Compare the ledger with the engine's list and repair the differences."""
        now = self.backend.now()
        self.reservations.expire(now)
        found = self.reconciler.compare(
            listing.states,
            self.ledger,
            self.parked_streams.tickets,
            listing.asked,
            now,
            self.listed_instances(),
        )
        self.ledger.unowned_tokens = found.unowned_tokens
        for free in found.free:
            self.free(free)
        for job_id in found.stuck + found.lost:
            self.recover_job(job_id)
        self.parked_streams.resume_parked()

    def free(self, free):
        """Free engine memory that has no owner."""
        self.daemon.metrics.count("unowned_freed", tag=str(free.kind))
        engine = self.backend.engine
        call = engine.discard if free.is_export else engine.cancel
        self.backend.spawn(call(free.name, self.call_timeout))

    def recover_job(self, job_id):
        """Run a job again that the engine has lost or cannot import, or remove its allocation."""
        allocation = self.ledger.by_job.get(job_id)
        if allocation is None:
            return
        self.daemon.metrics.count("jobs_lost")
        attempt = self.backend.attempts_by_job.get(job_id)
        if attempt and not attempt.ended:
            self.parked_streams.forget(attempt)
            self.backend.jobs.restart(attempt)
        else:
            self.ledger.remove(allocation.name)
