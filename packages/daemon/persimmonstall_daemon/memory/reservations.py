"""Reservations of engine memory for segments of prompts that exceed the memory of one engine.

A reservation is granted or refused at once, never queued.  It expires unless its entry renews
it, so that the memory is freed whichever process dies.
"""

from persimmonstall.failures import Failure, Reason
from persimmonstall.memory.ledger import Allocation, AllocationKind
from persimmonstall.messages.control import Release, Reserve, Reserved

STEP = "reserve"
RETRY_SECONDS = 2.0
"""Delay after which a refused reservation may be retried, as stated in the answer."""


class Reservations:
    """The reservations on one engine, stored as allocations of its ledger."""

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
        if reserve.reservation in self.ledger.allocations:
            return self.renew(reserve)
        if self.backend.leaving:
            return Reason.LEAVING
        if not self.backend.alive:
            return Reason.ENDPOINT_LOST
        if not self.ledger.fits(reserve.tokens):
            return Reason.BUSY
        self.ledger.add(
            Allocation(
                name=reserve.reservation,
                owner=session.peer,
                kind=AllocationKind.SEGMENT,
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
        for allocation in self.ledger.expired(now):
            if allocation.kind is AllocationKind.SEGMENT:
                self.manager.daemon.metrics.count("reservations_lapsed")
                self.free(allocation.name)

    def free(self, name):
        """Remove a reservation and cancel its job."""
        allocation = self.ledger.remove(name)
        if allocation is None or not allocation.job_id:
            return
        attempt = self.backend.attempts_by_job.get(allocation.job_id)
        if attempt and not attempt.ended:
            self.backend.stop_attempt(attempt, Reason.CANCELLED)
        else:
            self.backend.spawn(self.backend.jobs.cancel(allocation.job_id))

    def check(self, submit):
        """Return None if the segment of a `Submit` has a reservation, else the `Failure`."""
        allocation = self.ledger.allocations.get(submit.request_id)
        length = submit.segment_end - submit.segment_start
        if allocation and not allocation.job_id and length <= allocation.expected:
            return None
        return Failure(
            Reason.NOT_FOUND, STEP, self.backend.name, "no memory reserved for this segment"
        )

    def reservation_with_output(self, submit):
        """Return the reservation that includes memory for the output of `submit`, or None."""
        for ref in submit.segments:
            allocation = self.ledger.by_job.get(ref.job_id)
            if allocation and allocation.expected > ref.end - ref.start:
                return allocation
        return None

    def shrink_to_segment(self, submit):
        """Shrink a reservation to its segment; the stream has its own allocation now."""
        allocation = self.reservation_with_output(submit)
        for ref in submit.segments if allocation else ():
            if ref.job_id == allocation.job_id:
                self.ledger.expect(allocation.name, ref.end - ref.start)
