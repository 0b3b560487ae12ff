"""Accepts new attempts on an engine or refuses them at once."""

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import requests

from .attempt import make_attempt


class Admission:
    """Decides on the attempts that entries submit to `backend`; called from its task only."""

    def __init__(self, backend):
        self.backend = backend
        self.handlers = {requests.Submit: self.on_submit}

    def on_submit(self, submit, session):
        """Accept a new attempt or refuse it at once; suspects run one after the other."""
        refusal = self.backend.trials.refusal(submit, session)
        if refusal is not None:
            session.send(refusal)
        elif not self.backend.trials.postpone(submit, session):
            self.enqueue(submit, session)

    def enqueue(self, submit, session):
        """Enqueue a new attempt or refuse it at once."""
        backend = self.backend
        if (submit.request_id, submit.attempt) in backend.attempts:
            backend.daemon.metrics.count("frames_dropped", tag="repeated_submit")
            return
        refusal = self.refusal(submit)
        if refusal is not None:
            session.send(refusal)
            return
        queued = self.offer(submit)
        if not queued:
            refusal = backend.make_refusal(submit, queued.reason, Outcome.NOT_RUN, queued.detail)
            session.send(refusal)
            backend.send_loads((session,))
            return
        self.add_attempt(submit, session)
        backend.dispatch_queue()

    def refusal(self, submit):
        """Return the refusal of an attempt that the engine cannot run at present, else None."""
        refuse = self.backend.make_refusal
        if self.backend.leaving:
            return refuse(submit, Reason.LEAVING, Outcome.NOT_RUN)
        if not self.backend.alive:
            return refuse(submit, Reason.ENDPOINT_LOST, Outcome.NOT_RUN)
        if self.backend.attempt_versions.lacks_version(submit):
            return refuse(submit, Reason.BUSY, Outcome.NOT_RUN, "weights version not loaded")
        return None

    def offer(self, submit):
        """Put an attempt into the queue; return its `QueuedAttempt`, or a `Failure`."""
        backend = self.backend
        failure = backend.memory.admit(submit)
        if failure is not None:
            return failure
        return backend.queue.offer(submit, self.cached_tokens(submit), backend.now())

    def add_attempt(self, submit, session):
        """Add the state of an attempt that is in the queue."""
        backend = self.backend
        window = backend.settings.callers.idle_credit
        attempt = make_attempt(submit, session, backend.now(), window, backend.daemon.run_id)
        backend.add_attempt(attempt)
        backend.trials.attempt_admitted(attempt)
        backend.attempts_by_job[attempt.job_id] = attempt

    def cached_tokens(self, submit):
        """Return the prompt tokens that the engine probably has cached."""
        matched = self.backend.prefixes.match(submit.blocks).get(self.backend.name, 0)
        return min(matched * self.backend.settings.lengths.block, submit.prompt_tokens - 1)
