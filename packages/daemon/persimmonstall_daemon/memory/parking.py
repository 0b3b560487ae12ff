"""Moves streams out of an engine's memory when it runs short, and back in turn."""

import attrs

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory.parking import choose_resumed, choose_victims

from ..endpoint.attempt import Phase


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


class ParkingLot:
    """The parked streams of one engine; `tickets` maps exports to the attempts they are of."""

    def __init__(self, manager):
        self.manager = manager
        self.backend = manager.backend
        self.tickets = {}
        self.handlers = {Parked: self.on_parked, Resumed: self.on_resumed}

    @property
    def ledger(self):
        """The ledger of the engine."""
        return self.manager.ledger

    def relieve(self):
        """Begin to park what has to leave the memory."""
        for holding in choose_victims(self.ledger):
            attempt = self.backend.by_job.get(holding.job_id)
            if attempt and attempt.phase is Phase.RUNNING:
                holding.parking = True
                self.backend.spawn(self.park(attempt))

    async def park(self, attempt):
        """Ask the engine to export an attempt's job and post its answer."""
        job_id = attempt.job_id
        result = await self.backend.engine.park(job_id, self.manager.call_timeout)
        self.backend.post(Parked(attempt, job_id, result))

    def on_parked(self, parked, _session):
        """Take a stream out of the memory that the engine has exported.

        Without an answer the comparison finds out: the job runs on, or counts as lost and
        is run again, and its export is freed.
        """
        attempt = parked.attempt
        holding = self.ledger.by_job.get(parked.job_id)
        if isinstance(parked.result, Failure):
            if holding:
                holding.parking = False
            return
        if holding is None or attempt.ended:
            self.discard(parked.result)
            return
        self.manager.daemon.metrics.count("streams_parked")
        self.tickets[parked.result] = attempt
        self.ledger.park(holding.name, self.backend.now())
        attempt.phase = Phase.PARKED
        self.bring_back()

    def bring_back(self):
        """Import parked streams while there is room for the next one."""
        while True:
            holding = choose_resumed(self.ledger)
            if holding is None:
                return
            ticket, attempt = self.find(holding)
            self.ledger.unpark(holding.name)
            attempt.phase = Phase.STARTING
            self.backend.rename(attempt)
            self.backend.spawn(self.resume(attempt, ticket))

    def find(self, holding):
        """Return the (ticket, attempt) of a parked holding."""
        return next(item for item in self.tickets.items() if item[1].holding == holding.name)

    async def resume(self, attempt, ticket):
        """Ask the engine to import a parked stream and post its answer."""
        job = self.backend.job_of(attempt)
        result = await self.backend.engine.resume(ticket, job, self.manager.call_timeout)
        self.backend.post(Resumed(attempt, ticket, result))

    def on_resumed(self, resumed, _session):
        """Go on with a stream that is back, or run it again if its export is of no use."""
        attempt = resumed.attempt
        if attempt.ended or attempt.phase is not Phase.STARTING:
            return
        if resumed.result:
            attempt.phase = Phase.RUNNING
            self.manager.confirmed(attempt)
            return
        if resumed.result.reason is Reason.NO_MEMORY:
            self.ledger.park(attempt.holding, self.backend.now())
            attempt.phase = Phase.PARKED
            return
        self.forget(attempt)
        self.backend.restart(attempt)

    def forget(self, attempt):
        """Discard the exports of an attempt that no longer needs them."""
        for ticket in [name for name, owner in self.tickets.items() if owner is attempt]:
            del self.tickets[ticket]
            self.discard(ticket)

    def discard(self, ticket):
        """Tell the engine to delete an export; the comparison repeats a lost call."""
        engine = self.backend.engine
        self.backend.spawn(engine.discard(ticket, self.manager.call_timeout))
