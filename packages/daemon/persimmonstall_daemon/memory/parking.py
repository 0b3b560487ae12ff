"""Moves streams out of an engine's memory when it runs short, and back later."""

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory.parking import choose_resumed, choose_victims

from ..endpoint.attempt import AttemptPhase


@attrs.frozen
class Parked:
    """The engine's answer to a request to park the job `job_id`."""

    attempt: object
    job_id: str
    result: object


@attrs.frozen
class Resumed:
    """The engine's answer to a request to import the export `ticket`."""

    attempt: object
    ticket: str
    result: object


class ParkedStreams:
    """The parked streams of one engine; `tickets` maps each export to its attempt."""

    def __init__(self, manager):
        self.manager = manager
        self.backend = manager.backend
        self.tickets = {}
        self.handlers = {Parked: self.on_parked, Resumed: self.on_resumed}

    @property
    def ledger(self):
        """The ledger of the engine."""
        return self.manager.ledger

    def park_if_short_of_memory(self):
        """Start to park streams if the engine is about to run out of memory."""
        for allocation in choose_victims(self.ledger):
            attempt = self.backend.attempts_by_job.get(allocation.job_id)
            if attempt and attempt.phase is AttemptPhase.RUNNING:
                allocation.parking = True
                self.backend.spawn(self.park(attempt))

    async def park(self, attempt):
        """Request the export of an attempt's job and post the engine's answer."""
        job_id = attempt.job_id
        result = await self.backend.engine.park(job_id, self.manager.call_timeout)
        self.backend.post(Parked(attempt, job_id, result))

    def on_parked(self, parked, _session):
        """Mark a stream as parked once the engine has exported it.

        If the answer is lost, the comparison with the engine's list resolves it: either the
        job is still running, or it counts as lost and is run again, and its export is freed.
        """
        attempt = parked.attempt
        allocation = self.ledger.by_job.get(parked.job_id)
        if isinstance(parked.result, Failure):
            if allocation:
                allocation.parking = False
            return
        if allocation is None or attempt.ended:
            self.discard(parked.result)
            return
        self.manager.daemon.metrics.count("streams_parked")
        self.tickets[parked.result] = attempt
        self.ledger.park(allocation.name, self.backend.now())
        attempt.phase = AttemptPhase.PARKED
        self.resume_parked()

    def resume_parked(self):
        """Import parked streams while the next one fits into the free memory."""
        while True:
            allocation = choose_resumed(self.ledger)
            if allocation is None:
                return
            ticket, attempt = self.find_export(allocation)
            self.ledger.unpark(allocation.name)
            attempt.phase = AttemptPhase.STARTING
            self.backend.jobs.assign_new_id(attempt)
            self.backend.spawn(self.resume(attempt, ticket))

    def find_export(self, allocation):
        """Return the (ticket, attempt) of a parked allocation."""
        return next(
            item for item in self.tickets.items() if item[1].allocation_name == allocation.name
        )

    async def resume(self, attempt, ticket):
        """Request the import of a parked stream and post the engine's answer."""
        job = self.backend.jobs.job_of(attempt)
        result = await self.backend.engine.resume(ticket, job, self.manager.call_timeout)
        self.backend.post(Resumed(attempt, ticket, result))

    def on_resumed(self, resumed, _session):
        """Continue an imported stream.

        If the engine had no memory, the stream stays parked; after any other failure it is run
        again.
        """
        attempt = resumed.attempt
        if attempt.ended or attempt.phase is not AttemptPhase.STARTING:
            return
        if resumed.result:
            attempt.phase = AttemptPhase.RUNNING
            self.manager.confirm_job(attempt)
            return
        if resumed.result.reason is Reason.NO_MEMORY:
            self.ledger.park(attempt.allocation_name, self.backend.now())
            attempt.phase = AttemptPhase.PARKED
            return
        self.forget(attempt)
        self.backend.jobs.restart(attempt)

    def forget(self, attempt):
        """Discard the exports of an attempt, which are no longer needed."""
        for ticket in [name for name, owner in self.tickets.items() if owner is attempt]:
            del self.tickets[ticket]
            self.discard(ticket)

    def discard(self, ticket):
        """Delete an export at the engine; if the call is lost, the comparison repeats it."""
        engine = self.backend.engine
        self.backend.spawn(engine.discard(ticket, self.manager.call_timeout))
