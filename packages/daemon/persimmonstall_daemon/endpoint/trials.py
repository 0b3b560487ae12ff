"""Runs suspect content on one engine, one attempt at a time, and reports its crashes.

Content is suspect if it may have crashed an engine.  A trial is one attempt with such content; it
ends when the attempt ends or its content is no longer suspect.
"""

from collections import deque

import attrs

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import requests
from persimmonstall.messages.control import Verdicts
from persimmonstall.quarantine import ContentStatus

RECENT_SECONDS = 1.0
"""Time after a cancellation for which the engine may still run the job."""

MAX_POSTPONED = 64
"""Suspects that may wait; further ones are refused as busy."""


@attrs.frozen
class TrialEnded:
    """The running suspect has ended, or its content is no longer suspect."""


@attrs.frozen
class WaitingSuspect:
    """A suspect that waits to run until `deadline` (local clock, in seconds)."""

    submit: object
    session: object
    deadline: float


class Trials:
    """Runs one suspect at a time on an engine; called from the task of `backend` only.

    Other work runs beside the suspect.  If the engine dies, the crash counts against the
    suspect alone, and the other work is resumed elsewhere without becoming suspect.  `life`
    numbers the lifetimes of the engine that ended in crashes.
    """

    def __init__(self, backend):
        self.backend = backend
        self.manager = backend.daemon.quarantine
        self.running = None
        self.waiting = deque()
        self.life = 0

    def refusal(self, submit, session):
        """Return the refusal of quarantined content, or of a suspect not marked as one."""
        status = self.manager.status(submit.fingerprint)
        if status is ContentStatus.QUARANTINED:
            self.send_verdict(submit, session)
            return self.backend.make_refusal(submit, Reason.QUARANTINED, Outcome.NOT_RUN)
        if status is ContentStatus.SUSPECT and not submit.suspect:
            self.send_verdict(submit, session)
            return self.backend.make_refusal(
                submit, Reason.BUSY, Outcome.NOT_RUN, "content is suspect"
            )
        return None

    def send_verdict(self, submit, session):
        """Send the verdict to an entry that does not know it yet."""
        session.send(Verdicts((self.manager.verdict(submit.fingerprint),)))

    def postpone(self, submit, session):
        """Queue a suspect while another runs, or refuse it; return False if it may run now."""
        if not submit.suspect or self.running is None:
            return False
        if len(self.waiting) >= MAX_POSTPONED:
            session.send(self.backend.make_refusal(submit, Reason.BUSY, Outcome.NOT_RUN))
            return True
        deadline = self.backend.now() + submit.remaining
        self.waiting.append(WaitingSuspect(submit, session, deadline))
        return True

    def attempt_admitted(self, attempt):
        """Record an admitted attempt as the running suspect if it is one."""
        if attempt.submit.suspect:
            self.running = attempt

    def cancel_waiting(self, cancel):
        """Remove a waiting suspect that its entry has cancelled."""
        key = cancel.request_id, cancel.attempt
        kept = [suspect for suspect in self.waiting if key_of(suspect.submit) != key]
        self.waiting = deque(kept)

    def record_progress(self, attempt, complete):
        """Record the output offset that an attempt has reached; it may clear a suspect."""
        fingerprint = attempt.submit.fingerprint
        if complete:
            self.manager.record_progress(fingerprint)
        if self.running is not attempt:
            return
        self.manager.record_progress(fingerprint, attempt.send_buffer.end_offset)
        if self.manager.status(fingerprint) is ContentStatus.CLEAN:
            self.end_trial()

    def attempt_ended(self, attempt):
        """Handle the end of an attempt."""
        if self.running is attempt:
            self.end_trial()

    def end_trial(self):
        """End the current trial and post `TrialEnded`, upon which the next suspect is started."""
        self.running = None
        self.backend.post(TrialEnded())

    def on_ended(self, _ended, _session):
        """Start the next suspect whose deadline has not passed."""
        while self.waiting and self.running is None:
            suspect = self.waiting.popleft()
            remaining = suspect.deadline - self.backend.now()
            if remaining > 0:
                later = attrs.evolve(suspect.submit, remaining=remaining)
                self.backend.admission.on_submit(later, suspect.session)

    def engine_died(self):
        """Record a crash against all content that the engine may have been running."""
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
        """Return whether the engine may have been running an attempt when it died."""
        if not attempt.handed_over or not attempt.submit.fingerprint:
            return False
        if not attempt.ended:
            return True
        stopped = isinstance(attempt.result, requests.Refused)
        return stopped and self.backend.now() - attempt.ended_at < RECENT_SECONDS


def key_of(submit):
    """Return the key of the attempt that a `Submit` starts."""
    return submit.request_id, submit.attempt
