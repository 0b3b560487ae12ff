"""Copies of KV caches between the memory of the stand-in engine and host memory."""

from persimmonstall.failures import Reason
from persimmonstall.outside.engine import Finish

from .engine_state import Export, Phase


class Transfers:
    """Exports jobs of one engine and imports them again."""

    def __init__(self, engine):
        self.engine = engine
        self.ticket_count = 0

    def park(self, job_id):
        """Begin the export of a job from engine memory to host memory."""
        engine = self.engine
        run = engine.runs.get(job_id)
        if not run or run.phase is Phase.IMPORTING:
            return engine.failure("park", job_id, Reason.NOT_FOUND)
        parked = sum(export.run.memory for export in engine.exports.values())
        if parked + run.memory > engine.settings.host_memory:
            return engine.failure("park", "host memory full", Reason.NO_MEMORY)
        engine.reports.publish([engine.job_table.finish(run, Finish.PARKED)])
        self.ticket_count += 1
        export = Export(f"{engine.name}/export-{self.ticket_count}", run, engine.now())
        engine.exports[export.ticket] = export
        engine.schedule(self.copy_seconds(run), self.finish_export, export)
        return export

    def finish_export(self, export):
        """Mark an export as complete."""
        export.ready = True

    def resume(self, ticket, job):
        """Begin the import of an export as a new job."""
        engine = self.engine
        export = engine.exports.get(ticket)
        if not export or not export.ready:
            return engine.failure("resume", ticket, Reason.NOT_FOUND)
        if job.job_id in engine.runs:
            return True
        run = engine.job_table.new_run(job)
        run.position = export.run.position
        run.memory = export.run.memory
        if not engine.job_table.fits(run):
            return engine.failure("resume", "memory full", Reason.NO_MEMORY)
        run.phase = Phase.IMPORTING
        engine.log_event("started", run)
        engine.job_table.add_run(run)
        if not engine.faults.stall_imports:
            engine.schedule(self.copy_seconds(run), self.finish_import, run, ticket)
        return True

    def finish_import(self, run, ticket):
        """Continue a job whose KV cache has been imported."""
        engine = self.engine
        if engine.runs.get(run.job.job_id) is not run:
            return
        engine.exports.pop(ticket, None)
        if run.position < run.prefill_end:
            run.phase = Phase.PREFILL
            engine.job_table.queue_prefill(run)
        else:
            run.phase = Phase.DECODE
            engine.decoding[run.job.job_id] = run
        engine.batch.schedule_step()

    def discard(self, ticket):
        """Delete an export if it still exists."""
        self.engine.exports.pop(ticket, None)
        return True

    def copy_seconds(self, run):
        """Return the duration of a copy of the KV cache of a job, in seconds of the event loop."""
        return self.engine.loop_seconds(run.memory / self.engine.settings.copy_rate)
