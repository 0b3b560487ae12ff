"""Stand-in for a model engine: continuous batching with limited KV memory.

The cost model is in `EngineSettings`; faults are in `EngineFaults` and in `die`, `freeze` and
`silence_steps`.
"""

import asyncio

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.engine import Engine

from .engine_batch import Batch
from .engine_calls import Calls
from .engine_jobs import JobTable
from .engine_orders import Artifacts
from .engine_reports import Reports
from .engine_state import EngineFaults, EngineSettings, LogEntry
from .engine_transfers import Transfers
from .prefix_cache import PrefixCache


class EngineModel(Engine):
    """A model engine in memory; `speed` divides all of its times.

    `fetch(artifact)` is awaited before a model or adapter is loaded and returns True or a
    `Failure`.  `segment_alive(ref)` returns whether another engine still holds a `SegmentRef`.
    `runs` holds all jobs by id, `prefilling` and `decoding` those in the batch, and `exports`
    the parked ones by ticket.  `prefilled_tokens` counts the prompt tokens of all steps.
    """

    def __init__(self, name, settings=None, faults=None, speed=1.0, fetch=None):
        self.name = name
        self.settings = settings or EngineSettings()
        self.faults = faults or EngineFaults()
        self.speed = speed
        self.segment_alive = lambda ref: True
        self.log = []
        self.incarnation = 0
        self.dead = False
        self.frozen = False
        self.steps_run = 0
        self.prefilled_tokens = 0
        self.calls = Calls(self)
        self.job_table = JobTable(self)
        self.transfers = Transfers(self)
        self.batch = Batch(self)
        self.reports = Reports(self)
        self.artifacts = Artifacts(self, fetch)
        self.clear()

    def clear(self):
        """Reset everything that a process keeps in memory."""
        self.runs = {}
        self.prefilling = []
        self.decoding = {}
        self.exports = {}
        self.cache = PrefixCache()
        self.memory_used = 0
        self.step_seconds = 0.0
        self.batch.reset()
        self.reports.reset()
        self.artifacts.reset()

    # Calls.

    async def submit(self, job, timeout):
        """Start a `Job`; return True or a `Failure`."""
        return await self.calls.run("submit", lambda: self.job_table.submit(job), timeout)

    async def cancel(self, job_id, timeout):
        """Stop a job and free its memory; return True or a `Failure`."""
        return await self.calls.run("cancel", lambda: self.job_table.cancel(job_id), timeout)

    async def set_priority(self, job_id, priority, timeout):
        """Change the priority of a job; return True or a `Failure`."""
        return await self.calls.run(
            "set_priority", lambda: self.job_table.set_priority(job_id, priority), timeout
        )

    async def park(self, job_id, timeout):
        """Export the KV cache of a job to host memory; return its ticket or a `Failure`."""
        export = await self.calls.run("park", lambda: self.transfers.park(job_id), timeout)
        if not export:
            return export
        seconds = self.transfers.copy_seconds(export.run)
        if seconds > timeout:
            await asyncio.sleep(timeout)
            return self.failure("park", "timeout")
        await asyncio.sleep(seconds)
        return export.ticket

    async def resume(self, ticket, job, timeout):
        """Import a parked job's KV cache and continue as `job`; return True or a `Failure`."""
        return await self.calls.run("resume", lambda: self.transfers.resume(ticket, job), timeout)

    async def discard(self, ticket, timeout):
        """Delete an export; return True or a `Failure`."""
        return await self.calls.run("discard", lambda: self.transfers.discard(ticket), timeout)

    def steps(self):
        """Return an async iterator of `Step` from now on."""
        return self.reports.open_stream(self.reports.step_streams)

    def cache_events(self):
        """Return an async iterator of `CacheEvent` from now on."""
        return self.reports.open_stream(self.reports.event_streams)

    async def jobs(self, timeout):
        """Return a tuple of `JobState` of all jobs and exports, or a `Failure`.

        A parked job is listed under its ticket.
        """
        return await self.calls.run("jobs", self.job_table.states, timeout)

    async def load(self, timeout):
        """Return the `EngineLoad` as of `load_lag` ago, or a `Failure`."""
        return await self.calls.run("load", self.reports.lagging_load, timeout)

    async def order(self, order, timeout):
        """Execute an `Order`; return True or a `Failure`.  Loading continues after a timeout."""
        done = await self.calls.run("order", lambda: self.artifacts.start_order(order), timeout)
        if not isinstance(done, asyncio.Future):
            return done
        await asyncio.wait([done], timeout=timeout)
        return done.result() if done.done() else self.failure("order", "timeout")

    def failure(self, step, detail, reason=Reason.ENDPOINT_LOST):
        """Return a `Failure` of this engine."""
        return Failure(reason, step, self.name, detail)

    # Faults.

    def die(self):
        """Lose all memory and connections, as when the process is killed."""
        self.dead = True
        self.incarnation += 1
        self.frozen = False
        self.batch.stop()
        self.reports.end_streams()
        self.calls.deferred.clear()
        self.clear()

    def restart(self):
        """Start again with empty memory after `die`."""
        if not self.dead:
            self.die()
        self.dead = False

    def freeze(self):
        """Stop running steps and answering calls; connections stay open."""
        self.frozen = True

    def thaw(self):
        """Continue after `freeze`, first with the calls received meanwhile."""
        self.frozen = False
        self.calls.run_deferred()
        self.batch.end_overdue_step()

    def silence_steps(self):
        """Mute the open streams for good; new ones work."""
        for stream in self.reports.open_streams():
            stream.muted = True

    # Helpers.

    def now(self):
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def loop_seconds(self, seconds):
        """Convert modelled `seconds` to seconds of the event loop."""
        return seconds / self.speed

    def schedule(self, seconds, action, *arguments):
        """Call `action` after modelled `seconds` unless the engine dies before."""
        incarnation = self.incarnation

        def act():
            if self.incarnation == incarnation:
                action(*arguments)

        asyncio.get_running_loop().call_later(self.loop_seconds(seconds), act)

    def log_event(self, event, run, detail=""):
        """Append a record about a job to the log."""
        self.log.append(LogEntry(self.now(), event, run.job.job_id, run.seed, detail))
