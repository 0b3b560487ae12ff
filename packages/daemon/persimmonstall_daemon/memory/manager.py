"""Keeps the ledger of one engine and compares it with the engine's own list.

Part of the engine backend's task: its methods are called from there only, and its calls to
the engine run in tasks that post their results to the backend's inbox.
"""

import asyncio

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory.ledger import Holding, HoldingKind, Ledger
from persimmonstall.memory.reconcile import Owner, Reconciler
from persimmonstall.memory.spans import expected_tokens, own_prompt_tokens

from .parking import ParkingLot
from .reservations import Reservations

STEP = "memory"


@attrs.frozen
class Listing:
    """The engine's own list, asked for at time `asked`."""

    states: tuple
    asked: float


class MemoryManager:
    """Accounts for the memory of a backend's engine; `backend` is the `EngineBackend`.

    `listed` returns the names of the instances that the platform lists beside this endpoint,
    or None while that is not known.
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
        self.lot = ParkingLot(self)
        self.reservations = Reservations(self)
        self.handlers = {
            Listing: self.on_listing,
            **self.lot.handlers,
            **self.reservations.handlers,
        }

    @property
    def call_timeout(self):
        """Time for one call to the engine, in seconds; two calls fit into the grace."""
        endpoints = self.daemon.settings.endpoints
        return min(self.daemon.settings.platform.timeout, endpoints.unowned_grace / 2)

    async def run(self):
        """Compare with the engine's list at start and then regularly."""
        endpoints = self.daemon.settings.endpoints
        while True:
            asked = self.backend.now()
            states = await self.backend.engine.jobs(self.call_timeout)
            if not isinstance(states, Failure):
                self.backend.post(Listing(states, asked))
            await asyncio.sleep(self.daemon.context.jitter(endpoints.ledger_poll))

    # What the backend tells.

    def admit(self, submit):
        """Return None when an attempt can ever have room here, else a `Failure`: not run."""
        if submit.segment_end:
            return self.reservations.check(submit)
        wanted = expected_tokens(submit)
        if not self.ledger.fits_empty_engine(wanted):
            detail = f"{wanted} tokens; the engine holds {self.ledger.capacity}"
            return Failure(Reason.NO_MEMORY, STEP, self.backend.name, detail)
        return None

    def has_room(self, waiting):
        """Return whether a waiting attempt fits now; a segment's memory is reserved."""
        submit = waiting.submit
        if submit.segment_end or self.reservations.promised(submit):
            return True
        return self.ledger.fits(waiting.memory)

    def hold(self, attempt):
        """Enter the holding of an admitted attempt, before the engine is told."""
        submit = attempt.submit
        if submit.segment_end:
            self.ledger.assign_job(submit.request_id, attempt.job_id)
            return
        self.reservations.take_promise(submit)
        base = own_prompt_tokens(submit)
        self.ledger.add(
            Holding(
                name=attempt.job_id,
                owner=submit.request_id,
                kind=HoldingKind.STREAM,
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
        attempt.holding = attempt.job_id

    def moved(self, attempt):
        """Note that an attempt goes on under a new job id."""
        if attempt.holding in self.ledger.holdings:
            self.ledger.assign_job(attempt.holding, attempt.job_id)

    def confirmed(self, attempt):
        """Note that the engine has taken an attempt's job."""
        self.ledger.confirm(self.name_of(attempt), self.backend.now())

    def name_of(self, attempt):
        """Return the name of an attempt's holding."""
        return attempt.holding or attempt.submit.request_id

    def grew(self, attempt):
        """Note the output that an attempt has now."""
        holding = self.ledger.holdings.get(attempt.holding)
        if holding:
            self.ledger.grow(holding.name, holding.base + attempt.send_buffer.end_offset)

    def released(self, attempt):
        """Take out the holding of an attempt that has ended."""
        if attempt.holding:
            self.ledger.remove(attempt.holding)
            self.lot.forget(attempt)
            self.lot.bring_back()

    def relieve(self):
        """Park streams when the memory runs short and bring others back."""
        self.lot.relieve()

    def engine_died(self):
        """Forget what the engine held; the attempts are ended by the backend."""
        for name in list(self.ledger.holdings):
            self.ledger.remove(name)
        self.lot.tickets.clear()
        self.ledger.unowned = 0

    def busy(self):
        """Return how many segments a graceful shutdown has to wait for."""
        return sum(held.kind is HoldingKind.SEGMENT for held in self.ledger.holdings.values())

    # Comparison.

    def on_listing(self, listing, _session):
        """Act on one comparison with the engine's own list."""
        now = self.backend.now()
        self.reservations.expire(now)
        found = self.reconciler.compare(
            listing.states,
            self.ledger,
            self.lot.tickets,
            listing.asked,
            now,
            self.listed_instances(),
        )
        self.ledger.unowned = found.unowned
        for free in found.free:
            self.free(free)
        for job_id in found.stuck + found.lost:
            self.repair(job_id)
        self.lot.bring_back()

    def free(self, free):
        """Free engine memory that nobody owns."""
        self.daemon.metrics.count("unowned_freed", tag=str(free.kind))
        engine = self.backend.engine
        call = engine.discard if free.is_export else engine.cancel
        self.backend.spawn(call(free.name, self.call_timeout))

    def repair(self, job_id):
        """Run a job again that the engine has lost or cannot import."""
        holding = self.ledger.by_job.get(job_id)
        if holding is None:
            return
        self.daemon.metrics.count("jobs_lost")
        attempt = self.backend.by_job.get(job_id)
        if attempt and not attempt.ended:
            self.lot.forget(attempt)
            self.backend.restart(attempt)
        else:
            self.ledger.remove(holding.name)
