"""Runs attempts on one model engine."""

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
from ..orders.versions import Versions
from .attempt import Phase, make_attempt
from .backend import Backend, Expired, SessionLost
from .engine_watch import EngineDied, EngineWatch, JobsSeen, StepsLost
from .trials import TrialEnded, Trials

STEP = "engine"
WHOLE = frozenset((Finish.STOP, Finish.LENGTH))
NOT_STARTED = (Reason.NO_MEMORY, Reason.BUSY, Reason.UNKNOWN_MODEL)
CANCEL_TRIES = 3


@attrs.frozen
class Submitted:
    """The engine's answer to a hand-over."""

    attempt: object
    result: object


def certainly_not_run(result):
    """Say whether a hand-over's result proves that the engine has not run the job."""
    if result:
        return False
    if result.step == claims.STEP or result.detail == "not connected":
        return True
    return result.reason in NOT_STARTED


class EngineBackend(Backend):
    """Owns the attempts on one `Engine`."""

    step = STEP

    def __init__(self, name, engine, daemon):
        super().__init__(name, daemon)
        self.engine = engine
        self.by_job = {}
        self.reported = EngineLoad(0, 0, 0, 0, 0, 0.0)
        self.queue = make_engine_queue(daemon.settings)
        self.prefixes = PrefixMap()
        self.last_step = daemon.context.now()
        self.watch = EngineWatch(self)
        self.memory = MemoryManager(self)
        self.trials = Trials(self)
        self.versions = Versions()
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
            JobsSeen: self.on_jobs_seen,
            TrialEnded: self.trials.on_ended,
            **self.memory.handlers,
        }

    def start_tasks(self):
        """Watch the engine and compare its memory with the ledger."""
        self.watch.start()
        self.spawn(self.memory.run())

    def on_cache_event(self, event, _session):
        """Correct what the engine probably has cached."""
        self.prefixes.event(self.name, event)

    def running(self):
        """Return the attempts that the engine should be working on."""
        return [a for a in self.attempts.values() if a.phase is Phase.RUNNING]

    def busy(self):
        """Return the number of attempts not yet ended or not yet wholly sent."""
        attempts = sum(1 for a in self.attempts.values() if not a.ended or a.undelivered)
        return attempts + self.memory.busy()

    def load(self):
        """Return the load as known now."""
        running = self.reported
        waiting = len(self.queue.waiting)
        backlog, long_tokens = self.queue.backlog(self.now())
        return control.EndpointLoad(
            endpoint=self.name,
            running=running.running,
            waiting=running.waiting + waiting,
            memory_used=max(running.memory_used, self.memory_promised()),
            memory_total=running.memory_total,
            prefill_backlog=backlog,
            step_seconds=running.step_seconds,
            accepted=self.accepted,
            models=self.versions.shown(running.models, "models"),
            adapters=self.versions.shown(running.adapters, "adapters"),
            leaving=self.leaving or not self.alive,
            long_tokens=long_tokens,
            token_seconds=self.queue.cost.seconds_per_token,
        )

    def memory_promised(self):
        """Return the memory of all holdings and of the attempts that wait, in tokens."""
        waiting = sum(waiting.memory for waiting in self.queue.waiting.values())
        return self.memory.ledger.committed + waiting

    def on_load(self, load, _session):
        """Keep the engine's latest load report; a report shows that it is alive."""
        self.alive = True
        self.take_load(load)
        self.pump()

    def take_load(self, load):
        """Keep the engine's report where it is needed."""
        self.reported = load
        self.queue.memory_total = load.memory_total
        self.memory.ledger.set_capacity(load.memory_total)
        self.queue.step_seconds = load.step_seconds or self.queue.step_seconds

    def on_submit(self, submit, session):
        """Take a new attempt or refuse it at once; suspects run one after the other."""
        refusal = self.trials.refusal(submit, session)
        if refusal is not None:
            session.send(refusal)
        elif not self.trials.postponed(submit, session):
            self.take(submit, session)

    def take(self, submit, session):
        """Take a new attempt or refuse it at once."""
        key = submit.request_id, submit.attempt
        if key in self.attempts:
            self.daemon.metrics.count("frames_dropped", tag="repeated_submit")
            return
        if self.leaving:
            session.send(self.refused(submit, Reason.LEAVING, Outcome.NOT_RUN))
            return
        if not self.alive:
            session.send(self.refused(submit, Reason.ENDPOINT_LOST, Outcome.NOT_RUN))
            return
        if self.lacks(submit):
            session.send(self.refused(submit, Reason.BUSY, Outcome.NOT_RUN, "version not here"))
            return
        full = self.memory.admit(submit)
        if full is None:
            full = self.queue.offer(submit, self.cached_tokens(submit), self.now())
        if not full:
            session.send(self.refused(submit, full.reason, Outcome.NOT_RUN, full.detail))
            self.send_loads((session,))
            return
        window = self.settings.callers.idle_credit
        attempt = make_attempt(submit, session, self.now(), window, self.daemon.run_id)
        self.enter(attempt)
        self.trials.taken(attempt)
        self.by_job[attempt.job_id] = attempt
        self.pump()

    def cached_tokens(self, submit):
        """Return the prompt tokens that the engine probably has cached."""
        matched = self.prefixes.match(submit.blocks).get(self.name, 0)
        return min(matched * self.settings.lengths.block, submit.prompt_tokens - 1)

    def pump(self):
        """Hand over what may start now, and refuse what can no longer end in time."""
        now = self.now()
        for waiting in self.queue.remove_infeasible(now):
            attempt = self.attempts[waiting.key]
            self.end(attempt, self.refused(attempt.submit, Reason.TOO_LATE, Outcome.NOT_RUN))
        while waiting := self.queue.next(now):
            attempt = self.attempts[waiting.key]
            attempt.phase = Phase.STARTING
            attempt.priority = self.queue.priority(waiting)
            attempt.chunk_tokens = waiting.chunk
            self.memory.hold(attempt)
            self.spawn(self.hand_over(attempt))

    def job_of(self, attempt):
        """Return the engine job of an attempt, on the weights that it began with."""
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
        """Choose the weights of an attempt that has not begun, and tell its entry."""
        submit = attempt.submit
        if attempt.version:
            return
        attempt.version = self.versions.model(submit.model)
        if submit.adapter:
            attempt.adapter_version = self.versions.adapter(submit.adapter)
        self.tell_versions(attempt)

    def tell_versions(self, attempt):
        """Tell the entry which weights an attempt runs on, if the endpoint's orders say so."""
        if attempt.version and attempt.session is not None:
            versions = (attempt.version, attempt.adapter_version)
            attempt.session.send(requests.Started(*attempt.key, *versions))

    def lacks(self, submit):
        """Return whether an attempt resumes an answer of weights that are not here."""
        if not submit.version:
            return False
        return not self.versions.serves(submit, self.reported)

    def artifacts_in_use(self):
        """Return the versions of weights that unfinished attempts run on."""
        found = set()
        for attempt in self.attempts.values():
            if not attempt.ended:
                found.add(Artifact(attempt.submit.model, attempt.version))
                found.add(Artifact(attempt.submit.adapter, attempt.adapter_version))
        return found

    async def hand_over(self, attempt):
        """Hand an attempt to the engine and post the answer."""
        won = await self.daemon.claims.win(attempt, self.name)
        if not won:
            self.post(Submitted(attempt, won))
            return
        timeout = max(0.0, attempt.deadline - self.now())
        attempt.handed_over = True
        result = await self.engine.submit(self.job_of(attempt), timeout)
        self.post(Submitted(attempt, result))

    def on_submitted(self, submitted, _session):
        """Note the engine's answer to a hand-over."""
        attempt = submitted.attempt
        result = submitted.result
        if certainly_not_run(result) and attempt.won:
            self.spawn(self.daemon.claims.abandon(attempt.won))
        if attempt.ended:
            if result:
                self.spawn(self.cancel_job(attempt.job_id))
            return
        if result:
            self.note_running(attempt)
            return
        if attempt.phase is Phase.RUNNING and not certainly_not_run(result):
            return
        outcome = Outcome.NOT_RUN if certainly_not_run(result) else Outcome.UNKNOWN
        reason = Reason.BUSY if result.reason in NOT_STARTED else result.reason
        if outcome is Outcome.UNKNOWN:
            self.spawn(self.cancel_job(attempt.job_id))
        self.end(attempt, self.refused(attempt.submit, reason, outcome, result.detail))

    def note_running(self, attempt):
        """Note that the engine has the job of an attempt."""
        attempt.phase = Phase.RUNNING
        self.memory.confirmed(attempt)
        self.last_step = self.now()

    def on_step(self, step, _session):
        """Take one engine step and send what is new, one message for each session."""
        self.last_step = self.now()
        self.queue.record_step(self.last_step)
        if step.load:
            self.take_load(step.load)
        touched = []
        for output in step.outputs:
            attempt = self.by_job.get(output.job_id)
            if attempt is None or attempt.ended:
                continue
            self.take_output(attempt, output)
            touched.append(attempt)
        self.flush(touched)
        self.memory.relieve()
        self.pump()

    def take_output(self, attempt, output):
        """Add one job's output to its attempt."""
        if attempt.phase is Phase.STARTING:
            # The engine's answer to the hand-over is late or lost, but the job runs.
            self.note_running(attempt)
        if output.tokens and not attempt.first_token_at:
            attempt.first_token_at = self.now()
            attempt.cached = output.cached
            self.queue.first_token(attempt.key, attempt.first_token_at)
            self.prefixes.record(self.name, attempt.submit.blocks)
        if not attempt.send_buffer.add(output.offset, output.tokens):
            self.restart(attempt)
            return
        self.memory.grew(attempt)
        self.trials.record_progress(attempt, output.finish in WHOLE)
        if output.finish in (Finish.NONE, Finish.PARKED):
            return
        if output.finish is Finish.PREFILLED:
            self.queue.first_token(attempt.key, self.now())
            self.settle(attempt, self.whole(attempt, 0, output.finish, attempt.job_id.encode()))
            return
        if output.finish in WHOLE:
            self.store_answer(attempt, output.finish)
            count = attempt.send_buffer.end_offset
            self.settle(attempt, self.whole(attempt, count, output.finish))
            return
        reason = Reason.BUSY if output.finish is Finish.OUT_OF_MEMORY else Reason.ENDPOINT_LOST
        detail = str(output.finish)
        self.settle(attempt, self.refused(attempt.submit, reason, Outcome.UNKNOWN, detail))

    def whole(self, attempt, count, finish, body=b""):
        """Return the end mark of a whole answer; a segment's has its job id as `body`."""
        submit = attempt.submit
        return requests.End(
            submit.request_id,
            submit.attempt,
            count,
            str(finish),
            cached=attempt.cached,
            body=body,
        )

    def store_answer(self, attempt, finish):
        """Keep the answer of non-idempotent work for resends of its key."""
        if attempt.won:
            tokens = attempt.send_buffer.tokens
            self.spawn(self.daemon.claims.finish_tokens(attempt.won, finish, tokens))

    def restart(self, attempt):
        """Run an attempt again on the same engine from the tokens already received.

        Some of its output was lost with the connection that carried the steps.  Work that is
        not idempotent is not handed over a second time.
        """
        if not attempt.submit.idempotent:
            detail = "output was lost"
            refused = self.refused(attempt.submit, Reason.ENDPOINT_LOST, Outcome.UNKNOWN, detail)
            self.spawn(self.cancel_job(attempt.job_id))
            self.end(attempt, refused)
            return
        self.daemon.metrics.count("attempts_restarted")
        self.spawn(self.cancel_job(attempt.job_id))
        self.rename(attempt)
        attempt.phase = Phase.STARTING
        self.spawn(self.hand_over(attempt))

    def rename(self, attempt):
        """Give an attempt the name of its next job on the engine."""
        self.by_job.pop(attempt.job_id, None)
        attempt.job_id += "+"
        self.by_job[attempt.job_id] = attempt
        self.memory.moved(attempt)

    def flush(self, attempts):
        """Send what the windows allow, as one message for each session."""
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

    def settle(self, attempt, result):
        """Give an attempt its result, without sending it yet."""
        attempt.phase = Phase.ENDED
        attempt.result = result
        attempt.ended_at = self.now()
        attempt.timer.cancel()
        self.trials.ended(attempt)
        self.queue.ended(attempt.key)
        self.by_job.pop(attempt.job_id, None)
        self.memory.released(attempt)
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings.endpoints.keep_answers, self.drop, attempt)

    def end(self, attempt, result):
        """Give an attempt its result and send it as far as the window allows."""
        if isinstance(result, requests.Refused):
            attempt.send_buffer.sent = attempt.send_buffer.end_offset
        self.settle(attempt, result)
        self.flush([attempt])

    def on_cancel(self, cancel, _session):
        """Stop an attempt that its entry no longer wants."""
        attempt = self.find(cancel)
        if attempt is None:
            self.trials.cancelled(cancel)
        if attempt is None or attempt.ended:
            return
        attempt.session = None
        self.stop(attempt, Reason.CANCELLED)

    def on_expired(self, expired, _session):
        """Stop an attempt whose deadline has passed."""
        attempt = self.find(expired)
        if attempt and not attempt.ended:
            self.stop(attempt, Reason.DEADLINE)

    def stop(self, attempt, reason):
        """End an attempt before its answer is whole and free its memory."""
        outcome = Outcome.UNKNOWN if attempt.handed_over else Outcome.NOT_RUN
        self.spawn(self.cancel_job(attempt.job_id))
        self.end(attempt, self.refused(attempt.submit, reason, outcome))

    async def cancel_job(self, job_id):
        """Cancel an engine job, trying again a few times.

        A cancel that stays lost is repaired when the engine's own list is compared.
        """
        timeout = self.settings.platform.timeout
        for _ in range(CANCEL_TRIES):
            if await self.engine.cancel(job_id, timeout):
                return
            await asyncio.sleep(self.daemon.context.jitter(timeout))

    def on_credit(self, credit, session):
        """Let more output flow to a caller that keeps up."""
        attempt = self.find(credit)
        if attempt and attempt.session is session:
            attempt.send_buffer.credit(credit.offset)
            self.flush([attempt])

    def on_attach(self, attach, session):
        """Send an attempt's output over a new connection."""
        attempt = self.find(attach)
        if attempt is None or not attempt.send_buffer.rewind(attach.offset):
            session.send(self.daemon.unknown_attempt(attach))
            return
        attempt.session = session
        attempt.result_sent = False
        self.tell_versions(attempt)
        self.flush([attempt])

    def on_session_lost(self, lost, _session):
        """Keep attempts of a lost link for a while, so that the entry can attach again."""
        grace = 2 * self.settings.links.silence
        loop = asyncio.get_running_loop()
        for attempt in self.attempts.values():
            if attempt.session is lost.session:
                attempt.session = None
                attempt.detached_at = self.now()
                loop.call_later(grace, self.abandon, attempt, attempt.detached_at)

    def abandon(self, attempt, detached_at):
        """Stop an attempt that no entry came back for since it was detached."""
        same = attempt.detached_at == detached_at
        if same and attempt.session is None and not attempt.ended:
            self.daemon.metrics.count("attempts_abandoned")
            self.stop(attempt, Reason.CANCELLED)

    def on_steps_lost(self, lost, _session):
        """Open a new connection for the engine's steps; gaps restart their attempts.

        The engine is asked at once whether it is still there.
        """
        self.daemon.metrics.count("engine_steps_lost")
        self.last_step = self.now()
        self.watch.reopen()

    def on_jobs_seen(self, seen, _session):
        """Find out whether the engine was started anew meanwhile, without its jobs."""
        still = seen.expected & {attempt.job_id for attempt in self.running()}
        if still and not seen.expected & seen.present:
            self.on_engine_died(EngineDied("started anew"), None)

    def on_engine_died(self, died, _session):
        """Refuse everything that was running, so that the entries can go elsewhere."""
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
            self.end(attempt, self.refused(attempt.submit, Reason.ENDPOINT_LOST, outcome, detail))
        self.memory.engine_died()
        self.daemon.broadcast(control.Loads((self.load(),)))
