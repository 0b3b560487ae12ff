"""Reservations of engine memory for segments of prompts that exceed the memory of one engine.

A reservation is granted or refused at once, never queued.  It expires unless its entry renews
it, so that the memory is freed whichever process dies.
"""

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory.ledger import Holding, HoldingKind
from persimmonstall.messages.control import Release, Reserve, Reserved

STEP = "reserve"
RETRY_SECONDS = 2.0
"""Delay after which a refused reservation may be retried, as stated in the answer."""


class Reservations:
    """The reservations on one engine, stored as holdings of its ledger."""

    def __init__(self, manager):
        self.manager = manager
        self.backend = manager.backend
        self.handlers = {Reserve: self.on_reserve, Release: self.on_release}

    @property
    def ledger(self):
        """The ledger of the engine."""
        return self.manager.ledger

    def on_reserve(self, reserve, session):
        """Grant, renew or refuse a reservation and send the answer."""
        reason = self.renew(reserve) if reserve.renew else self.grant(reserve, session)
        retry = RETRY_SECONDS if reason else 0.0
        session.send(Reserved(reserve.reservation, reserve.endpoint, reason, retry))

    def renew(self, reserve):
        """Renew a reservation; return the reason of a refusal or ""."""
        renewed = self.ledger.renew(reserve.reservation, self.backend.now() + reserve.lapse)
        return "" if renewed else Reason.NOT_FOUND

    def grant(self, reserve, session):
        """Add a reservation; return the reason of a refusal or ""."""
        if reserve.reservation in self.ledger.holdings:
            return self.renew(reserve)
        if self.backend.leaving:
            return Reason.LEAVING
        if not self.backend.alive:
            return Reason.ENDPOINT_LOST
        if not self.ledger.fits(reserve.tokens):
            return Reason.BUSY
        self.ledger.add(
            Holding(
                name=reserve.reservation,
                owner=session.peer,
                kind=HoldingKind.SEGMENT,
                base=reserve.tokens,
                expected=reserve.tokens,
                maximum=reserve.tokens,
                expires_at=self.backend.now() + reserve.lapse,
            )
        )
        return ""

    def on_release(self, release, _session):
        """Free a reservation that its entry has released."""
        self.free(release.reservation)

    def expire(self, now):
        """Free the reservations that were not renewed in time."""
        for holding in self.ledger.expired(now):
            if holding.kind is HoldingKind.SEGMENT:
                self.manager.daemon.metrics.count("reservations_lapsed")
                self.free(holding.name)

    def free(self, name):
        """Remove a reservation and cancel its job."""
        holding = self.ledger.remove(name)
        if holding is None or not holding.job_id:
            return
        attempt = self.backend.attempts_by_job.get(holding.job_id)
        if attempt and not attempt.ended:
            self.backend.stop_attempt(attempt, Reason.CANCELLED)
        else:
            self.backend.spawn(self.backend.jobs.cancel(holding.job_id))

    def check(self, submit):
        """Return None if the segment of a `Submit` has a reservation, else the `Failure`."""
        holding = self.ledger.holdings.get(submit.request_id)
        length = submit.segment_end - submit.segment_start
        if holding and not holding.job_id and length <= holding.expected:
            return None
        return Failure(
            Reason.NOT_FOUND, STEP, self.backend.name, "no memory reserved for this segment"
        )

    def reservation_with_output(self, submit):
        """Return the reservation that includes memory for the output of `submit`, or None."""
        for ref in submit.segments:
            holding = self.ledger.by_job.get(ref.job_id)
            if holding and holding.expected > ref.end - ref.start:
                return holding
        return None

    def shrink_to_segment(self, submit):
        """Shrink a reservation to its segment; the stream's own holding now covers the output."""
        holding = self.reservation_with_output(submit)
        for ref in submit.segments if holding else ():
            if ref.job_id == holding.job_id:
                self.ledger.expect(holding.name, ref.end - ref.start)
