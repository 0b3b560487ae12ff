"""Runs the engine jobs of the attempts: builds, submits, restarts and cancels them."""

import asyncio

import attrs

from persimmonstall.failures import Outcome, Reason
from persimmonstall.memory.spans import expected_tokens, own_prompt_tokens
from persimmonstall.outside.engine import Job, JobKind

from ..claims import manager as claims
from .attempt import AttemptPhase

NOT_RUN_REASONS = (Reason.NO_MEMORY, Reason.BUSY, Reason.UNKNOWN_MODEL)
"""Reasons with which an engine refuses a job before running it."""

MAX_CANCEL_TRIES = 3


@attrs.frozen
class Submitted:
    """The engine's answer to the submission of a job."""

    attempt: object
    result: object


def certainly_not_run(result):
    """Return whether the result of a submission proves that the engine has not run the job."""
    if result:
        return False
    if result.step == claims.STEP or result.detail == "not connected":
        return True
    return result.reason in NOT_RUN_REASONS


class EngineJobs:
    """The jobs of the attempts on the engine of `backend`; called from its task only.

    Calls to the engine run in tasks of their own, which post their results to the backend.
    """

    def __init__(self, backend):
        self.backend = backend
        self.handlers = {Submitted: self.on_submitted}

    def job_of(self, attempt):
        """Return the engine job of an attempt, on the weights version that it began with."""
        submit = attempt.submit
        self.backend.attempt_versions.choose(attempt)
        return Job(
            job_id=attempt.job_id,
            owner=str(self.backend.memory.owner),
            model=submit.model,
            adapter=submit.adapter,
            prompt=submit.prompt,
            prompt_tokens=submit.prompt_tokens,
            max_tokens=submit.max_tokens,
            reserved_tokens=expected_tokens(submit) or own_prompt_tokens(submit),
            priority=attempt.priority,
            blocks=submit.blocks,
            resume_from=attempt.send_buffer.end_offset,
            chunk_tokens=attempt.chunk_tokens,
            kind=JobKind.SEGMENT if submit.segment_end else JobKind.GENERATE,
            start=submit.segment_start,
            end=submit.segment_end,
            segments=submit.segments,
            version=attempt.version,
        )

    async def submit(self, attempt):
        """Acquire the claim if one is needed, submit the job and post the engine's answer."""
        backend = self.backend
        held_claim = await backend.daemon.claims.acquire(attempt, backend.name)
        if not held_claim:
            backend.post(Submitted(attempt, held_claim))
            return
        timeout = max(0.0, attempt.deadline - backend.now())
        attempt.handed_over = True
        result = await backend.engine.submit(self.job_of(attempt), timeout)
        backend.post(Submitted(attempt, result))

    def on_submitted(self, submitted, _session):
        """Handle the engine's answer to the submission of a job."""
        attempt = submitted.attempt
        result = submitted.result
        not_run = certainly_not_run(result)
        if not_run and attempt.held_claim:
            self.backend.spawn(self.backend.daemon.claims.abandon(attempt.held_claim))
        if attempt.ended:
            if result:
                self.backend.spawn(self.cancel(attempt.job_id))
        elif result:
            self.mark_running(attempt)
        elif not_run or attempt.phase is not AttemptPhase.RUNNING:
            self.refuse(attempt, result, not_run)

    def refuse(self, attempt, failure, not_run):
        """Refuse an attempt whose job the engine has refused or not confirmed."""
        outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        reason = Reason.BUSY if failure.reason in NOT_RUN_REASONS else failure.reason
        if not not_run:
            self.backend.spawn(self.cancel(attempt.job_id))
        self.backend.refuse(attempt, reason, outcome, failure.detail)

    def mark_running(self, attempt):
        """Record that the engine runs the job of an attempt."""
        attempt.phase = AttemptPhase.RUNNING
        self.backend.memory.confirm_job(attempt)
        self.backend.last_step_at = self.backend.now()

    def restart(self, attempt):
        """Run an attempt again on the same engine from the tokens already received.

        Called when output was lost with the connection that carried the steps, or when the
        engine has lost the job.  Work that is not idempotent is never submitted a second time
        and fails instead.
        """
        backend = self.backend
        if not attempt.submit.idempotent:
            detail = "engine output was lost"
            backend.spawn(self.cancel(attempt.job_id))
            backend.refuse(attempt, Reason.ENDPOINT_LOST, Outcome.UNKNOWN, detail)
            return
        backend.daemon.metrics.count("attempts_restarted")
        backend.spawn(self.cancel(attempt.job_id))
        self.assign_new_id(attempt)
        attempt.phase = AttemptPhase.STARTING
        backend.spawn(self.submit(attempt))

    def assign_new_id(self, attempt):
        """Give an attempt a new job id, for its next job on the engine."""
        self.backend.attempts_by_job.pop(attempt.job_id, None)
        attempt.job_id += "+"
        self.backend.attempts_by_job[attempt.job_id] = attempt
        self.backend.memory.job_renamed(attempt)

    async def cancel(self, job_id):
        """Cancel an engine job, with up to `MAX_CANCEL_TRIES` calls.

        If all fail, the comparison with the engine's list of jobs cancels it later.
        """
        timeout = self.backend.settings.platform.timeout
        for _ in range(MAX_CANCEL_TRIES):
            if await self.backend.engine.cancel(job_id, timeout):
                return
            await asyncio.sleep(self.backend.daemon.context.jitter(timeout))
