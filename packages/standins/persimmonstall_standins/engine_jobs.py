"""Jobs of the stand-in engine and the memory that they use."""

from persimmonstall.failures import Reason
from persimmonstall.outside.engine import Finish, JobKind, JobState, Output

from .engine_state import JobRun
from .output import natural_length, seed_of


class JobTable:
    """Admits, changes, lists and removes the jobs of one engine."""

    def __init__(self, engine):
        self.engine = engine
        self.arrival_count = 0

    def submit(self, job):
        """Admit a job or refuse it."""
        engine = self.engine
        if job.job_id in engine.runs:
            return True
        if not engine.artifacts.serves(job):
            return engine.failure("submit", job.model, Reason.UNKNOWN_MODEL)
        if len(engine.runs) >= engine.settings.max_jobs:
            return engine.failure("submit", "batch full", Reason.BUSY)
        run = self.new_run(job)
        if not self.fits(run):
            return engine.failure("submit", "memory full", Reason.NO_MEMORY)
        engine.log_event("started", run)
        self.add_run(run)
        self.look_up_prefix(run)
        self.queue_prefill(run)
        engine.batch.schedule_step()
        return True

    def fits(self, run):
        """Return whether the engine has the memory that a new job uses and reserves."""
        wanted = max(run.memory, run.job.reserved_tokens)
        return self.engine.memory_used + wanted <= self.engine.settings.memory

    def queue_prefill(self, run):
        """Queue the prefill of a job by priority and arrival."""
        self.engine.prefilling.append(run)
        self.engine.prefilling.sort(key=JobRun.sort_key)

    def new_run(self, job):
        """Return the `JobRun` of a job that starts from its prompt."""
        engine = self.engine
        seed = seed_of(job.model, job.adapter, job.prompt)
        natural = natural_length(seed)
        segment = job.kind is JobKind.SEGMENT
        covered = max((ref.end for ref in job.segments), default=0)
        start = job.start if segment else covered
        end = job.end if segment else job.prompt_tokens + job.resume_from
        self.arrival_count += 1
        return JobRun(
            job=job,
            seed=seed,
            length=min(natural, job.max_tokens),
            stops_naturally=natural <= job.max_tokens,
            arrival=self.arrival_count,
            created_at=engine.now(),
            priority=job.priority,
            position=start,
            prefill_end=end,
            generated=job.resume_from,
            memory=end - start,
            chunk=job.chunk_tokens or engine.settings.chunk_tokens,
            crashes=engine.settings.crash_marker in job.prompt,
        )

    def look_up_prefix(self, run):
        """Skip the prefill of cached blocks; the last prompt token is always computed."""
        if run.job.kind is JobKind.SEGMENT or run.job.segments:
            return
        cached = self.engine.cache.matched(run.job.blocks) * self.engine.settings.block
        run.cached = max(0, min(cached, run.job.prompt_tokens - 1))
        run.position = run.cached

    def cancel(self, job_id):
        """Cancel a job unless the fault switch `drop_cancel` is on."""
        engine = self.engine
        if engine.faults.drop_cancel:
            return True
        run = engine.runs.get(job_id)
        if run:
            engine.reports.publish([self.finish(run, Finish.CANCELLED)])
        return True

    def set_priority(self, job_id, priority):
        """Change the priority of a job if it is still running."""
        engine = self.engine
        run = engine.runs.get(job_id)
        if not run:
            return engine.failure("set_priority", job_id, Reason.NOT_FOUND)
        run.priority = priority
        engine.prefilling.sort(key=JobRun.sort_key)
        return True

    def states(self):
        """Return the `JobState` of all jobs and exports."""
        engine = self.engine
        now = engine.now()
        running = [
            JobState(name, run.job.owner, run.kind(), run.memory, now - run.created_at)
            for name, run in engine.runs.items()
        ]
        parked = [
            JobState(
                name,
                export.run.job.owner,
                export.kind(),
                export.run.memory,
                now - export.created_at,
            )
            for name, export in engine.exports.items()
        ]
        return tuple(running + parked)

    def add_run(self, run):
        """Add a job and account for its memory."""
        self.engine.runs[run.job.job_id] = run
        self.engine.memory_used += run.memory
        self.trim_cache()

    def finish(self, run, reason, tokens=()):
        """Remove a job, free its memory and return its last `Output`."""
        engine = self.engine
        name = run.job.job_id
        del engine.runs[name]
        engine.decoding.pop(name, None)
        if run in engine.prefilling:
            engine.prefilling.remove(run)
        engine.memory_used -= run.memory
        if run.pinned:
            engine.cache.unpin(run.job.blocks)
            run.pinned = False
            self.trim_cache()
        engine.log_event("finished", run, reason.value)
        if not engine.runs:
            engine.reports.record_load(force=True)
        return Output(name, run.generated - len(tokens), tokens, reason, run.cached)

    def trim_cache(self):
        """Evict cached blocks that no longer fit into the memory that the jobs leave free."""
        engine = self.engine
        free = engine.settings.memory - engine.memory_used
        engine.cache.trim(free // engine.settings.block)
        engine.reports.schedule_events()

    def evict_jobs(self, outputs):
        """Evict the jobs of the lowest priority while they use more memory than there is."""
        engine = self.engine
        while engine.memory_used > engine.settings.memory:
            victim = max(engine.runs.values(), key=JobRun.sort_key)
            outputs.append(self.finish(victim, Finish.OUT_OF_MEMORY))
