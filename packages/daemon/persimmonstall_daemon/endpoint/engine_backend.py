"""The back end of one model engine: its attempts, its load and what starts and ends them."""

import asyncio

from persimmonstall.failures import Outcome, Reason
from persimmonstall.messages import control, requests
from persimmonstall.orders import Artifact
from persimmonstall.outside.engine import CacheEvent, EngineLoad
from persimmonstall.placement.prefix import PrefixMap
from persimmonstall.placement.queue import make_engine_queue

from ..memory.manager import MemoryManager
from ..orders.versions import WeightVersions
from .admission import Admission
from .attempt import AttemptPhase
from .attempt_versions import AttemptVersions
from .backend import Backend, Expired
from .delivery import Delivery
from .engine_jobs import EngineJobs
from .engine_output import EngineOutput
from .engine_recovery import EngineRecovery
from .engine_watch import EngineWatch
from .trials import TrialEnded, Trials

STEP = "engine"


class EngineBackend(Backend):
    """Owns the attempts on one `Engine`.

    `attempts_by_job` maps the ids of engine jobs to the attempts that have no result yet;
    `last_step_at` is the time of the engine's last step, on the local clock, in seconds.
    """

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
        self.admission = Admission(self)
        self.jobs = EngineJobs(self)
        self.output = EngineOutput(self)
        self.delivery = Delivery(self)
        self.recovery = EngineRecovery(self)
        self.attempt_versions = AttemptVersions(self)
        self.handlers = {
            requests.Cancel: self.on_cancel,
            Expired: self.on_expired,
            EngineLoad: self.on_load,
            CacheEvent: self.on_cache_event,
            TrialEnded: self.trials.on_ended,
            **self.admission.handlers,
            **self.jobs.handlers,
            **self.output.handlers,
            **self.delivery.handlers,
            **self.recovery.handlers,
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
        """Return the memory of all allocations and of the queued attempts, in tokens."""
        queued = sum(waiting.memory for waiting in self.queue.waiting.values())
        return self.memory.ledger.committed_tokens + queued

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

    def dispatch_queue(self):
        """Start the attempts that may run now; refuse those that can no longer end in time."""
        now = self.now()
        for waiting in self.queue.remove_infeasible(now):
            self.refuse(self.attempts[waiting.key], Reason.TOO_LATE, Outcome.NOT_RUN)
        while waiting := self.queue.next(now):
            attempt = self.attempts[waiting.key]
            attempt.phase = AttemptPhase.STARTING
            attempt.priority = self.queue.priority(waiting)
            attempt.chunk_tokens = waiting.chunk
            self.memory.add_allocation(attempt)
            self.spawn(self.jobs.submit(attempt))

    def artifacts_in_use(self):
        """Return the `Artifact`s that unfinished attempts run on."""
        found = set()
        for attempt in self.attempts.values():
            if not attempt.ended:
                found.add(Artifact(attempt.submit.model, attempt.version))
                found.add(Artifact(attempt.submit.adapter, attempt.adapter_version))
        return found

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
        self.delivery.flush([attempt])

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
        self.spawn(self.jobs.cancel(attempt.job_id))
        self.refuse(attempt, reason, attempt.outcome_if_stopped)
