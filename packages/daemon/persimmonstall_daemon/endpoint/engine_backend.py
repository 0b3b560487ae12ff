"""Runs attempts on one model engine: queue, memory, output and recovery."""

import asyncio

import attrs

from persimmonstall.failures import Outcome, Reason
from persimmonstall.memory.spans import expected_tokens, own_prompt_tokens
from persimmonstall.messages import control, requests
from persimmonstall.orders import Artifact
from persimmonstall.outside.engine import CacheEvent, EngineLoad, Finish, Job, JobKind, Step
from persimmonstall.placement.prefix import PrefixMap
from persimmonstall.placement.queue import make_engine_queue

from ..claims import manager as claims
from ..memory.manager import MemoryManager
from ..orders.versions import WeightVersions
from .attempt import AttemptPhase, make_attempt
from .backend import Backend, Expired, SessionLost
from .engine_watch import EngineDied, EngineWatch, JobsListed, StepsLost
from .trials import TrialEnded, Trials

STEP = "engine"
COMPLETE = frozenset((Finish.STOP, Finish.LENGTH))
"""Finish reasons of a complete answer."""

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


class EngineBackend(Backend):
    """Owns the attempts on one `Engine`."""

    step = STEP

    def __init__(self, name, engine, daemon):
        super().__init__(name, daemon)
        self.engine = engine
        self.attempts_by_job = {}
        self.last_report = EngineLoad(0, 0, 0, 0, 0, 0.0)
        self.queue = make_engine_queue(daemon.settings)
        self.prefixes = PrefixMap()
        self.last_step_at = daemon.context.now()
        self.watch = EngineWatch(self)
        self.memory = MemoryManager(self)
        self.trials = Trials(self)
        self.versions = WeightVersions()
        self.queue.has_room = self.memory.has_room
        self.handlers = {
            requests.Submit: self.on_submit,
            requests.Cancel: self.on_cancel,
            requests.Credit: self.on_credit,
            requests.Attach: self.on_attach,
            SessionLost: self.on_session_lost,
            Expired: self.on_expired,
            Submitted: self.on_submitted,
            Step: self.on_step,
            StepsLost: self.on_steps_lost,
            EngineDied: self.on_engine_died,
            EngineLoad: self.on_load,
            CacheEvent: self.on_cache_event,
            JobsListed: self.on_jobs_listed,
            TrialEnded: self.trials.on_ended,
            **self.memory.handlers,
        }

    def start_tasks(self):
        """Start to watch the engine and to compare its memory with the ledger."""
        self.watch.start()
        self.spawn(self.memory.run())

    def on_cache_event(self, event, _session):
        """Update the map of the prefixes that the engine has cached."""
        self.prefixes.event(self.name, event)

    def running(self):
        """Return the attempts that the engine should be running."""
        return [a for a in self.attempts.values() if a.phase is AttemptPhase.RUNNING]

    def pending_count(self):
        """Return the number of attempts and segments that a graceful shutdown waits for."""
        attempts = sum(1 for a in self.attempts.values() if not a.ended or a.undelivered)
        return attempts + self.memory.pending_count()

    def load(self):
        """Return the current load: the engine's report and the queue in front of it."""
        report = self.last_report
        waiting = len(self.queue.waiting)
        backlog, long_tokens = self.queue.backlog(self.now())
        return control.EndpointLoad(
            endpoint=self.name,
            running=report.running,
            waiting=report.waiting + waiting,
            memory_used=max(report.memory_used, self.memory_promised()),
            memory_total=report.memory_total,
            prefill_backlog=backlog,
            step_seconds=report.step_seconds,
            accepted=self.accepted,
            models=self.versions.placeable(report.models, "models"),
            adapters=self.versions.placeable(report.adapters, "adapters"),
            leaving=self.leaving or not self.alive,
            long_tokens=long_tokens,
            token_seconds=self.queue.cost.seconds_per_token,
        )

    def memory_promised(self):
        """Return the memory of all holdings and of the queued attempts, in tokens."""
        queued = sum(waiting.memory for waiting in self.queue.waiting.values())
        return self.memory.ledger.committed + queued

    def on_load(self, load, _session):
        """Apply a load report, which also proves that the engine is alive."""
        self.alive = True
        self.apply_load(load)
        self.dispatch_queue()

    def apply_load(self, load):
        """Pass the engine's load report to the queue and the memory ledger."""
        self.last_report = load
        self.queue.memory_total = load.memory_total
        self.memory.ledger.set_capacity(load.memory_total)
        self.queue.step_seconds = load.step_seconds or self.queue.step_seconds

    def on_submit(self, submit, session):
        """Accept a new attempt or refuse it at once; suspects run one after the other."""
        refusal = self.trials.refusal(submit, session)
        if refusal is not None:
            session.send(refusal)
        elif not self.trials.postpone(submit, session):
            self.enqueue(submit, session)

    def enqueue(self, submit, session):
        """Enqueue a new attempt or refuse it at once."""
        key = submit.request_id, submit.attempt
        if key in self.attempts:
            self.daemon.metrics.count("frames_dropped", tag="repeated_submit")
            return
        if self.leaving:
            session.send(self.make_refusal(submit, Reason.LEAVING, Outcome.NOT_RUN))
            return
        if not self.alive:
            session.send(self.make_refusal(submit, Reason.ENDPOINT_LOST, Outcome.NOT_RUN))
            return
        if self.lacks_version(submit):
            session.send(
                self.make_refusal(
                    submit, Reason.BUSY, Outcome.NOT_RUN, "weights version not loaded"
                )
            )
            return
        admission = self.memory.admit(submit)
        if admission is None:
            admission = self.queue.offer(submit, self.cached_tokens(submit), self.now())
        if not admission:
            session.send(
                self.make_refusal(submit, admission.reason, Outcome.NOT_RUN, admission.detail)
            )
            self.send_loads((session,))
            return
        window = self.settings.callers.idle_credit
        attempt = make_attempt(submit, session, self.now(), window, self.daemon.run_id)
        self.add_attempt(attempt)
        self.trials.attempt_admitted(attempt)
        self.attempts_by_job[attempt.job_id] = attempt
        self.dispatch_queue()

    def cached_tokens(self, submit):
        """Return the prompt tokens that the engine probably has cached."""
        matched = self.prefixes.match(submit.blocks).get(self.name, 0)
        return min(matched * self.settings.lengths.block, submit.prompt_tokens - 1)

    def dispatch_queue(self):
        """Start the attempts that may run now; refuse those that can no longer end in time."""
        now = self.now()
        for waiting in self.queue.remove_infeasible(now):
            attempt = self.attempts[waiting.key]
            self.end_attempt(
                attempt, self.make_refusal(attempt.submit, Reason.TOO_LATE, Outcome.NOT_RUN)
            )
        while waiting := self.queue.next(now):
            attempt = self.attempts[waiting.key]
            attempt.phase = AttemptPhase.STARTING
            attempt.priority = self.queue.priority(waiting)
            attempt.chunk_tokens = waiting.chunk
            self.memory.add_holding(attempt)
            self.spawn(self.hand_over(attempt))

    def job_of(self, attempt):
        """Return the engine job of an attempt, on the weights version that it began with."""
        submit = attempt.submit
        self.choose_versions(attempt)
        return Job(
            job_id=attempt.job_id,
            owner=str(self.memory.owner),
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

    def choose_versions(self, attempt):
        """Choose the weights versions of an attempt that has none, and report them."""
        submit = attempt.submit
        if attempt.version:
            return
        attempt.version = self.versions.model(submit.model)
        if submit.adapter:
            attempt.adapter_version = self.versions.adapter(submit.adapter)
        self.report_versions(attempt)

    def report_versions(self, attempt):
        """Report the weights versions of an attempt to its entry, if they are chosen here."""
        if attempt.version and attempt.session is not None:
            versions = (attempt.version, attempt.adapter_version)
            attempt.session.send(requests.Started(*attempt.key, *versions))

    def lacks_version(self, submit):
        """Return whether an attempt resumes an answer whose weights version is not available."""
        if not submit.version:
            return False
        return not self.versions.serves(submit, self.last_report)

    def artifacts_in_use(self):
        """Return the `Artifact`s that unfinished attempts run on."""
        found = set()
        for attempt in self.attempts.values():
            if not attempt.ended:
                found.add(Artifact(attempt.submit.model, attempt.version))
                found.add(Artifact(attempt.submit.adapter, attempt.adapter_version))
        return found

    async def hand_over(self, attempt):
        """Acquire the claim if one is needed, submit the job and post the engine's answer."""
        held_claim = await self.daemon.claims.acquire(attempt, self.name)
        if not held_claim:
            self.post(Submitted(attempt, held_claim))
            return
        timeout = max(0.0, attempt.deadline - self.now())
        attempt.handed_over = True
        result = await self.engine.submit(self.job_of(attempt), timeout)
        self.post(Submitted(attempt, result))

    def on_submitted(self, submitted, _session):
        """Handle the engine's answer to the submission of a job."""
        attempt = submitted.attempt
        result = submitted.result
        if certainly_not_run(result) and attempt.held_claim:
            self.spawn(self.daemon.claims.abandon(attempt.held_claim))
        if attempt.ended:
            if result:
                self.spawn(self.cancel_job(attempt.job_id))
            return
        if result:
            self.mark_running(attempt)
            return
        if attempt.phase is AttemptPhase.RUNNING and not certainly_not_run(result):
            return
        outcome = Outcome.NOT_RUN if certainly_not_run(result) else Outcome.UNKNOWN
        reason = Reason.BUSY if result.reason in NOT_RUN_REASONS else result.reason
        if outcome is Outcome.UNKNOWN:
            self.spawn(self.cancel_job(attempt.job_id))
        self.end_attempt(
            attempt, self.make_refusal(attempt.submit, reason, outcome, result.detail)
        )

    def mark_running(self, attempt):
        """Record that the engine runs the job of an attempt."""
        attempt.phase = AttemptPhase.RUNNING
        self.memory.confirm_job(attempt)
        self.last_step_at = self.now()

    def on_step(self, step, _session):
        """Handle the output of one engine step and send it, one message for each session."""
        self.last_step_at = self.now()
        self.queue.record_step(self.last_step_at)
        if step.load:
            self.apply_load(step.load)
        touched = []
        for output in step.outputs:
            attempt = self.attempts_by_job.get(output.job_id)
            if attempt is None or attempt.ended:
                continue
            self.apply_output(attempt, output)
            touched.append(attempt)
        self.flush(touched)
        self.memory.relieve_pressure()
        self.dispatch_queue()

    def apply_output(self, attempt, output):
        """Add one job's output to its attempt."""
        if attempt.phase is AttemptPhase.STARTING:
            # The answer to the submission is late or lost, but the job runs.
            self.mark_running(attempt)
        if output.tokens and not attempt.first_token_at:
            attempt.first_token_at = self.now()
            attempt.cached_tokens = output.cached
            self.queue.first_token(attempt.key, attempt.first_token_at)
            self.prefixes.record(self.name, attempt.submit.blocks)
        if not attempt.send_buffer.add(output.offset, output.tokens):
            self.restart(attempt)
            return
        self.memory.record_growth(attempt)
        self.trials.record_progress(attempt, output.finish in COMPLETE)
        if output.finish in (Finish.NONE, Finish.PARKED):
            return
        if output.finish is Finish.PREFILLED:
            self.queue.first_token(attempt.key, self.now())
            self.set_result(
                attempt, self.make_end(attempt, 0, output.finish, attempt.job_id.encode())
            )
            return
        if output.finish in COMPLETE:
            self.store_answer(attempt, output.finish)
            count = attempt.send_buffer.end_offset
            self.set_result(attempt, self.make_end(attempt, count, output.finish))
            return
        reason = Reason.BUSY if output.finish is Finish.OUT_OF_MEMORY else Reason.ENDPOINT_LOST
        detail = str(output.finish)
        self.set_result(
            attempt, self.make_refusal(attempt.submit, reason, Outcome.UNKNOWN, detail)
        )

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
            tokens = attempt.send_buffer.tokens
            self.spawn(self.daemon.claims.finish_tokens(attempt.held_claim, finish, tokens))

    def restart(self, attempt):
        """Run an attempt again on the same engine from the tokens already received.

        Called when output was lost with the connection that carried the steps, or when the
        engine has lost the job.  Work that is not idempotent is never submitted a second time
        and fails instead.
        """
        if not attempt.submit.idempotent:
            detail = "engine output was lost"
            refused = self.make_refusal(
                attempt.submit, Reason.ENDPOINT_LOST, Outcome.UNKNOWN, detail
            )
            self.spawn(self.cancel_job(attempt.job_id))
            self.end_attempt(attempt, refused)
            return
        self.daemon.metrics.count("attempts_restarted")
        self.spawn(self.cancel_job(attempt.job_id))
        self.assign_new_job_id(attempt)
        attempt.phase = AttemptPhase.STARTING
        self.spawn(self.hand_over(attempt))

    def assign_new_job_id(self, attempt):
        """Give an attempt a new job id, for its next job on the engine."""
        self.attempts_by_job.pop(attempt.job_id, None)
        attempt.job_id += "+"
        self.attempts_by_job[attempt.job_id] = attempt
        self.memory.job_renamed(attempt)

    def flush(self, attempts):
        """Send the output that the windows allow, in one message for each session."""
        batches = {}
        ended = []
        for attempt in attempts:
            if attempt.session is None:
                continue
            chunk = attempt.send_buffer.next_chunk()
            if chunk:
                batches.setdefault(attempt.session, []).append(chunk)
            if attempt.ended and attempt.send_buffer.all_sent and not attempt.result_sent:
                attempt.result_sent = True
                ended.append(attempt)
        for session, chunks in batches.items():
            session.send(requests.Chunks(tuple(chunks)))
        for attempt in ended:
            attempt.session.send(attempt.result)
        if ended:
            self.send_loads({attempt.session for attempt in ended})

    def set_result(self, attempt, result):
        """Set the result of an attempt and release its resources, without sending it yet."""
        attempt.phase = AttemptPhase.ENDED
        attempt.result = result
        attempt.ended_at = self.now()
        attempt.deadline_timer.cancel()
        self.trials.attempt_ended(attempt)
        self.queue.ended(attempt.key)
        self.attempts_by_job.pop(attempt.job_id, None)
        self.memory.release(attempt)
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings.endpoints.keep_answers, self.remove_attempt, attempt)

    def end_attempt(self, attempt, result):
        """Set the result of an attempt and send it; output still unsent is dropped if refused."""
        if isinstance(result, requests.Refused):
            attempt.send_buffer.sent = attempt.send_buffer.end_offset
        self.set_result(attempt, result)
        self.flush([attempt])

    def on_cancel(self, cancel, _session):
        """Stop an attempt that its entry has cancelled."""
        attempt = self.find_attempt(cancel)
        if attempt is None:
            self.trials.cancel_waiting(cancel)
        if attempt is None or attempt.ended:
            return
        attempt.session = None
        self.stop_attempt(attempt, Reason.CANCELLED)

    def on_expired(self, expired, _session):
        """Stop an attempt whose deadline has passed."""
        attempt = self.find_attempt(expired)
        if attempt and not attempt.ended:
            self.stop_attempt(attempt, Reason.DEADLINE)

    def stop_attempt(self, attempt, reason):
        """Refuse an attempt whose answer is incomplete and cancel its engine job."""
        outcome = Outcome.UNKNOWN if attempt.handed_over else Outcome.NOT_RUN
        self.spawn(self.cancel_job(attempt.job_id))
        self.end_attempt(attempt, self.make_refusal(attempt.submit, reason, outcome))

    async def cancel_job(self, job_id):
        """Cancel an engine job, with up to `MAX_CANCEL_TRIES` attempts.

        If all fail, the comparison with the engine's list of jobs cancels it later.
        """
        timeout = self.settings.platform.timeout
        for _ in range(MAX_CANCEL_TRIES):
            if await self.engine.cancel(job_id, timeout):
                return
            await asyncio.sleep(self.daemon.context.jitter(timeout))

    def on_credit(self, credit, session):
        """Advance the send window by what the caller has consumed."""
        attempt = self.find_attempt(credit)
        if attempt and attempt.session is session:
            attempt.send_buffer.credit(credit.offset)
            self.flush([attempt])

    def on_attach(self, attach, session):
        """Attach a new session to an attempt and send its output from the requested offset."""
        attempt = self.find_attempt(attach)
        if attempt is None or not attempt.send_buffer.rewind(attach.offset):
            session.send(self.daemon.unknown_attempt(attach))
            return
        attempt.session = session
        attempt.result_sent = False
        self.report_versions(attempt)
        self.flush([attempt])

    def on_session_lost(self, lost, _session):
        """Detach the attempts of a lost link; stop those that no entry attaches to in time."""
        grace = 2 * self.settings.links.silence
        loop = asyncio.get_running_loop()
        for attempt in self.attempts.values():
            if attempt.session is lost.session:
                attempt.session = None
                attempt.detached_at = self.now()
                loop.call_later(grace, self.stop_if_detached, attempt, attempt.detached_at)

    def stop_if_detached(self, attempt, detached_at):
        """Stop an attempt that no entry has attached to since it was detached."""
        same = attempt.detached_at == detached_at
        if same and attempt.session is None and not attempt.ended:
            self.daemon.metrics.count("attempts_abandoned")
            self.stop_attempt(attempt, Reason.CANCELLED)

    def on_steps_lost(self, lost, _session):
        """Open a new connection for the engine's steps and check that the engine is alive.

        An attempt whose output then has a gap is restarted.
        """
        self.daemon.metrics.count("engine_steps_lost")
        self.last_step_at = self.now()
        self.watch.reopen()

    def on_jobs_listed(self, listed, _session):
        """Treat the engine as dead if it has none of its jobs left, that is, was restarted."""
        still = listed.expected & {attempt.job_id for attempt in self.running()}
        if still and not listed.expected & listed.present:
            self.on_engine_died(EngineDied("engine restarted"), None)

    def on_engine_died(self, died, _session):
        """Refuse all open attempts, so that the entries can retry them on other endpoints."""
        if not self.alive:
            return
        self.alive = False
        self.prefixes.forget(self.name)
        self.daemon.metrics.count("engines_died")
        self.trials.engine_died()
        open_attempts = [a for a in self.attempts.values() if not a.ended]
        for attempt in open_attempts:
            detail = died.detail
            outcome = Outcome.UNKNOWN if attempt.handed_over else Outcome.NOT_RUN
            self.end_attempt(
                attempt, self.make_refusal(attempt.submit, Reason.ENDPOINT_LOST, outcome, detail)
            )
        self.memory.engine_died()
        self.daemon.broadcast(control.Loads((self.load(),)))
