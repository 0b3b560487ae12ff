"""Suspects on one engine, one at a time, and what was in flight when the engine dies."""

from collections import deque

import attrs

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import requests
from persimmonstall.messages.control import Verdicts
from persimmonstall.quarantine import ContentStatus

RECENT_SECONDS = 1.0
"""Time for which the engine may still run what was cancelled."""

MAX_POSTPONED = 64
"""Suspects that wait for their turn; further ones are refused as busy."""


@attrs.frozen
class TrialEnded:
    """The suspect that ran has ended, or is no longer suspected."""


@attrs.frozen
class Postponed:
    """A suspect that waits for its turn until `deadline` (local clock, in seconds)."""

    submit: object
    session: object
    deadline: float


class Trials:
    """Belongs to one engine `backend` and is called by its task only.

    Work beside a suspect goes on: if the engine dies, the crash counts against the suspect
    alone, and the others are resumed elsewhere without suspicion.
    """

    def __init__(self, backend):
        self.backend = backend
        self.manager = backend.daemon.quarantine
        self.running = None
        self.waiting = deque()
        self.life = 0

    def refusal(self, submit, session):
        """Return the refusal of quarantined content or of a suspect not known as one."""
        status = self.manager.status(submit.fingerprint)
        if status is ContentStatus.QUARANTINED:
            self.tell(submit, session)
            return self.backend.refused(submit, Reason.QUARANTINED, Outcome.NOT_RUN)
        if status is ContentStatus.SUSPECT and not submit.suspect:
            self.tell(submit, session)
            return self.backend.refused(submit, Reason.BUSY, Outcome.NOT_RUN, "suspected content")
        return None

    def tell(self, submit, session):
        """Send the entry the verdict that it does not know yet."""
        session.send(Verdicts((self.manager.verdict(submit.fingerprint),)))

    def postponed(self, submit, session):
        """Whether a suspect was put off until the one that runs has ended."""
        if not submit.suspect or self.running is None:
            return False
        if len(self.waiting) >= MAX_POSTPONED:
            session.send(self.backend.refused(submit, Reason.BUSY, Outcome.NOT_RUN))
            return True
        deadline = self.backend.now() + submit.remaining
        self.waiting.append(Postponed(submit, session, deadline))
        return True

    def taken(self, attempt):
        """Note the suspect that runs now."""
        if attempt.submit.suspect:
            self.running = attempt

    def cancelled(self, cancel):
        """Forget a waiting suspect that its entry no longer wants."""
        key = cancel.request_id, cancel.attempt
        kept = [one for one in self.waiting if key_of(one.submit) != key]
        self.waiting = deque(kept)

    def record_progress(self, attempt, whole):
        """Note how far a suspect has come; it may be cleared."""
        fingerprint = attempt.submit.fingerprint
        if whole:
            self.manager.record_progress(fingerprint)
        if self.running is not attempt:
            return
        self.manager.record_progress(fingerprint, attempt.send_buffer.end_offset)
        if self.manager.status(fingerprint) is ContentStatus.CLEAN:
            self.end()

    def ended(self, attempt):
        """Note the end of an attempt."""
        if self.running is attempt:
            self.end()

    def end(self):
        """Let the next suspect run."""
        self.running = None
        self.backend.post(TrialEnded())

    def on_ended(self, _ended, _session):
        """Start the next suspect that still has time."""
        while self.waiting and self.running is None:
            one = self.waiting.popleft()
            remaining = one.deadline - self.backend.now()
            if remaining > 0:
                later = attrs.evolve(one.submit, remaining=remaining)
                self.backend.on_submit(later, one.session)

    def engine_died(self):
        """Note a crash with everything that the engine may have been running."""
        fingerprints = {}
        for attempt in self.backend.attempts.values():
            if not self.in_flight(attempt):
                continue
            submit = attempt.submit
            attempts, offset = fingerprints.setdefault(submit.fingerprint, ([], 0))
            attempts.append(f"{submit.request_id}/{submit.attempt}")
            farthest = max(offset, attempt.send_buffer.end_offset)
            fingerprints[submit.fingerprint] = (attempts, farthest)
        name, run = self.backend.name, self.backend.daemon.run_id
        self.life += 1
        self.manager.record_crash(fingerprints, name, run, self.life)

    def in_flight(self, attempt):
        """Whether the engine may have been running an attempt just now."""
        if not attempt.handed_over or not attempt.submit.fingerprint:
            return False
        if not attempt.ended:
            return True
        stopped = isinstance(attempt.result, requests.Refused)
        return stopped and self.backend.now() - attempt.ended_at < RECENT_SECONDS


def key_of(submit):
    """Return what identifies an attempt."""
    return submit.request_id, submit.attempt
