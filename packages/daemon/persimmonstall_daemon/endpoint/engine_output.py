"""Applies the output of an engine's steps to the attempts."""

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import requests
from persimmonstall.outside.engine import Finish, Step

from .attempt import AttemptPhase

COMPLETE = frozenset((Finish.STOP, Finish.LENGTH))
"""Finish reasons of a complete answer."""

UNFINISHED = frozenset((Finish.NONE, Finish.PARKED))
"""Finish reasons after which more output of the attempt follows."""


class EngineOutput:
    """Handles the steps of the engine of `backend`; called from its task only."""

    def __init__(self, backend):
        self.backend = backend
        self.handlers = {Step: self.on_step}

    def on_step(self, step, _session):
        """Handle the output of one engine step and send it, one message for each session."""
        backend = self.backend
        backend.last_step_at = backend.now()
        backend.queue.record_step(backend.last_step_at)
        if step.load:
            backend.apply_load(step.load)
        touched = []
        for output in step.outputs:
            attempt = backend.attempts_by_job.get(output.job_id)
            if attempt is None or attempt.ended:
                continue
            self.apply_output(attempt, output)
            touched.append(attempt)
        backend.delivery.flush(touched)
        backend.memory.park_if_short_of_memory()
        backend.dispatch_queue()

    def apply_output(self, attempt, output):
        """Add one job's output to its attempt."""
        backend = self.backend
        if attempt.phase is AttemptPhase.STARTING:
            # The answer to the submission is late or lost, but the job runs.
            backend.jobs.mark_running(attempt)
        if output.tokens and not attempt.first_token_at:
            self.record_first_token(attempt, output)
        if not attempt.send_buffer.add(output.offset, output.tokens):
            backend.jobs.restart(attempt)
            return
        backend.memory.record_growth(attempt)
        backend.trials.record_progress(attempt, output.finish in COMPLETE)
        if output.finish not in UNFINISHED:
            backend.set_result(attempt, self.result_of(attempt, output.finish))

    def record_first_token(self, attempt, output):
        """Record the end of an attempt's prefill and the prefix that is cached now."""
        backend = self.backend
        attempt.first_token_at = backend.now()
        attempt.cached_tokens = output.cached
        backend.queue.first_token(attempt.key, attempt.first_token_at)
        backend.prefixes.record(backend.name, attempt.submit.blocks)

    def result_of(self, attempt, finish):
        """Return the `End` or `Refused` of an attempt whose job has finished."""
        backend = self.backend
        if finish is Finish.PREFILLED:
            backend.queue.first_token(attempt.key, backend.now())
            return self.make_end(attempt, 0, finish, attempt.job_id.encode())
        if finish in COMPLETE:
            self.store_answer(attempt, finish)
            return self.make_end(attempt, attempt.send_buffer.end_offset, finish)
        reason = Reason.BUSY if finish is Finish.OUT_OF_MEMORY else Reason.ENDPOINT_LOST
        return backend.make_refusal(attempt.submit, reason, Outcome.UNKNOWN, str(finish))

    def make_end(self, attempt, count, finish, body=b""):
        """Return the `End` of a complete answer; that of a segment has the job id as `body`."""
        submit = attempt.submit
        return requests.End(
            submit.request_id,
            submit.attempt,
            count,
            str(finish),
            cached=attempt.cached_tokens,
            body=body,
        )

    def store_answer(self, attempt, finish):
        """Store the answer of non-idempotent work, which is returned when its key is resent."""
        if attempt.held_claim:
            claims = self.backend.daemon.claims
            tokens = attempt.send_buffer.tokens
            self.backend.spawn(claims.finish_tokens(attempt.held_claim, finish, tokens))
