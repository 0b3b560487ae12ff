"""Reacts to an engine whose output stream is lost or that has died or restarted."""

from persimmonstall.failures import Reason
from persimmonstall.messages import control

from .engine_watch import EngineDied, JobsListed, StepsLost


class EngineRecovery:
    """Handles what `EngineWatch` reports to `backend`; called from the backend's task only."""

    def __init__(self, backend):
        self.backend = backend
        self.handlers = {
            StepsLost: self.on_steps_lost,
            JobsListed: self.on_jobs_listed,
            EngineDied: self.on_engine_died,
        }

    def on_steps_lost(self, lost, _session):
        """Open a new connection for the engine's steps and check that the engine is alive.

        An attempt whose output then has a gap is restarted.
        """
        self.backend.daemon.metrics.count("engine_steps_lost")
        self.backend.last_step_at = self.backend.now()
        self.backend.watch.reopen()

    def on_jobs_listed(self, listed, _session):
        """Treat the engine as dead if it has none of its jobs left, that is, was restarted."""
        still = listed.expected & {attempt.job_id for attempt in self.backend.running()}
        if still and not listed.expected & listed.present:
            self.on_engine_died(EngineDied("engine restarted"), None)

    def on_engine_died(self, died, _session):
        """Refuse all open attempts, so that the entries can retry them on other endpoints."""
        backend = self.backend
        if not backend.alive:
            return
        backend.alive = False
        backend.prefixes.forget(backend.name)
        backend.daemon.metrics.count("engines_died")
        backend.trials.engine_died()
        open_attempts = [a for a in backend.attempts.values() if not a.ended]
        for attempt in open_attempts:
            outcome = attempt.outcome_if_stopped
            backend.refuse(attempt, Reason.ENDPOINT_LOST, outcome, died.detail)
        backend.memory.engine_died()
        backend.daemon.broadcast(control.Loads((backend.load(),)))
