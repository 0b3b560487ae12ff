"""Stand-in for a model engine: continuous batching with limited KV memory.

A single timer drives the batch steps, so that an idle engine uses no CPU time.  The cost model
is in `EngineSettings`; faults are in `EngineFaults` and in `die`, `freeze` and `silence_steps`.
"""

import asyncio
import weakref
from collections import deque
from random import Random

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.engine import (
    CacheEvent,
    Engine,
    EngineLoad,
    Finish,
    JobKind,
    JobState,
    Output,
    Step,
)

from .engine_orders import Artifacts
from .engine_state import EngineFaults, EngineSettings, Export, JobRun, LogEntry, Phase, Stream
from .output import natural_length, seed_of, token_at
from .prefix_cache import PrefixCache


class EngineModel(Engine):
    """A model engine in memory; `speed` divides all of its times.

    `fetch(artifact)` is awaited before a model or adapter is loaded and returns True or a
    `Failure`.  `segment_alive(ref)` returns whether another engine still holds a `SegmentRef`.
    """

    def __init__(self, name, settings=None, faults=None, speed=1.0, fetch=None):
        self.name = name
        self.settings = settings or EngineSettings()
        self.faults = faults or EngineFaults()
        self.speed = speed
        self.segment_alive = lambda ref: True
        self.random = Random(f"{self.settings.seed}/{name}")
        self.log = []
        self.incarnation = 0
        self.dead = False
        self.frozen = False
        self.deferred_calls = []
        self.step_streams = weakref.WeakSet()
        self.event_streams = weakref.WeakSet()
        self.arrival_count = 0
        self.ticket_count = 0
        self.steps_run = 0
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
        self.sequence = 0
        self.event_sequence = 0
        self.events_due = False
        self.timer = None
        self.step_overdue = False
        self.prefill_plan = []
        self.step_seconds = 0.0
        self.loads = deque()
        self.artifacts.reset()

    # Calls.

    async def submit(self, job, timeout):
        """Start a `Job`; return True or a `Failure`."""
        return await self.run_call("submit", lambda: self.submit_now(job), timeout)

    async def cancel(self, job_id, timeout):
        """Stop a job and free its memory; return True or a `Failure`."""
        return await self.run_call("cancel", lambda: self.cancel_now(job_id), timeout)

    async def set_priority(self, job_id, priority, timeout):
        """Change the priority of a job; return True or a `Failure`."""
        return await self.run_call(
            "set_priority", lambda: self.set_priority_now(job_id, priority), timeout
        )

    async def park(self, job_id, timeout):
        """Export the KV cache of a job to host memory; return its ticket or a `Failure`."""
        export = await self.run_call("park", lambda: self.park_now(job_id), timeout)
        if not export:
            return export
        seconds = self.copy_seconds(export.run)
        if seconds > timeout:
            await asyncio.sleep(timeout)
            return self.failure("park", "timeout")
        await asyncio.sleep(seconds)
        return export.ticket

    async def resume(self, ticket, job, timeout):
        """Import a parked job's KV cache and continue as `job`; return True or a `Failure`."""
        return await self.run_call("resume", lambda: self.resume_now(ticket, job), timeout)

    async def discard(self, ticket, timeout):
        """Delete an export; return True or a `Failure`."""
        return await self.run_call("discard", lambda: self.discard_now(ticket), timeout)

    def steps(self):
        """Return an async iterator of `Step` from now on."""
        return self.open_stream(self.step_streams)

    def cache_events(self):
        """Return an async iterator of `CacheEvent` from now on."""
        return self.open_stream(self.event_streams)

    async def jobs(self, timeout):
        """Return a tuple of `JobState` of all jobs and exports, or a `Failure`.

        A parked job is listed under its ticket.
        """
        return await self.run_call("jobs", self.jobs_now, timeout)

    async def load(self, timeout):
        """Return the `EngineLoad` as of `load_lag` ago, or a `Failure`."""
        return await self.run_call("load", self.lagging_load, timeout)

    async def order(self, order, timeout):
        """Execute an `Order`; return True or a `Failure`.  Loading continues after a timeout."""
        done = await self.run_call("order", lambda: self.artifacts.start_order(order), timeout)
        if not isinstance(done, asyncio.Future):
            return done
        await asyncio.wait([done], timeout=timeout)
        return done.result() if done.done() else self.failure("order", "timeout")

    async def run_call(self, step, effect, timeout):
        """Call `effect` after the latency and return its result, subject to the current faults."""
        if self.dead:
            return self.failure(step, "not connected")
        await asyncio.sleep(self.loop_seconds(self.settings.latency))
        if self.dead:
            return self.failure(step, "not connected")
        if self.frozen:
            return await self.run_call_after_thaw(step, effect, timeout)
        result = effect()
        if not self.faults.lose_answers:
            return result
        await asyncio.sleep(timeout)
        return self.failure(step, "timeout")

    async def run_call_after_thaw(self, step, effect, timeout):
        """Defer `effect` until the thaw; after `timeout` its result is dropped."""
        answer = asyncio.get_running_loop().create_future()
        self.deferred_calls.append((effect, answer))
        await asyncio.wait([answer], timeout=timeout)
        return answer.result() if answer.done() else self.failure(step, "timeout")

    def failure(self, step, detail, reason=Reason.ENDPOINT_LOST):
        """Return a `Failure` of this engine."""
        return Failure(reason, step, self.name, detail)

    def open_stream(self, streams):
        """Return a new `Stream`, which ends when the engine dies."""
        stream = Stream()
        if self.dead:
            stream.end()
        else:
            streams.add(stream)
        return stream

    # Implementation of the calls.

    def submit_now(self, job):
        """Admit a job or refuse it."""
        if job.job_id in self.runs:
            return True
        if not self.artifacts.serves(job):
            return self.failure("submit", job.model, Reason.UNKNOWN_MODEL)
        if len(self.runs) >= self.settings.max_jobs:
            return self.failure("submit", "batch full", Reason.BUSY)
        run = self.new_run(job)
        if self.memory_used + max(run.memory, job.reserved_tokens) > self.settings.memory:
            return self.failure("submit", "memory full", Reason.NO_MEMORY)
        self.log_event("started", run)
        self.add_run(run)
        self.look_up_prefix(run)
        self.prefilling.append(run)
        self.prefilling.sort(key=JobRun.sort_key)
        self.schedule_step()
        return True

    def new_run(self, job):
        """Return the `JobRun` of a job that starts from its prompt."""
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
            created_at=self.now(),
            priority=job.priority,
            position=start,
            prefill_end=end,
            generated=job.resume_from,
            memory=end - start,
            chunk=job.chunk_tokens or self.settings.chunk_tokens,
            crashes=self.settings.crash_marker in job.prompt,
        )

    def look_up_prefix(self, run):
        """Skip the prefill of cached blocks; the last prompt token is always computed."""
        if run.job.kind is JobKind.SEGMENT or run.job.segments:
            return
        cached = self.cache.matched(run.job.blocks) * self.settings.block
        run.cached = max(0, min(cached, run.job.prompt_tokens - 1))
        run.position = run.cached

    def cancel_now(self, job_id):
        """Cancel a job unless the fault switch `drop_cancel` is on."""
        if self.faults.drop_cancel:
            return True
        run = self.runs.get(job_id)
        if run:
            self.publish([self.finish(run, Finish.CANCELLED)])
        return True

    def set_priority_now(self, job_id, priority):
        """Change the priority of a job if it is still running."""
        run = self.runs.get(job_id)
        if not run:
            return self.failure("set_priority", job_id, Reason.NOT_FOUND)
        run.priority = priority
        self.prefilling.sort(key=JobRun.sort_key)
        return True

    def park_now(self, job_id):
        """Begin the export of a job from engine memory to host memory."""
        run = self.runs.get(job_id)
        if not run or run.phase is Phase.IMPORTING:
            return self.failure("park", job_id, Reason.NOT_FOUND)
        parked = sum(export.run.memory for export in self.exports.values())
        if parked + run.memory > self.settings.host_memory:
            return self.failure("park", "host memory full", Reason.NO_MEMORY)
        self.publish([self.finish(run, Finish.PARKED)])
        self.ticket_count += 1
        export = Export(f"{self.name}/export-{self.ticket_count}", run, self.now())
        self.exports[export.ticket] = export
        self.schedule(self.copy_seconds(run), self.finish_export, export)
        return export

    def finish_export(self, export):
        """Mark an export as complete."""
        export.ready = True

    def resume_now(self, ticket, job):
        """Begin the import of an export as a new job."""
        export = self.exports.get(ticket)
        if not export or not export.ready:
            return self.failure("resume", ticket, Reason.NOT_FOUND)
        if job.job_id in self.runs:
            return True
        run = self.new_run(job)
        run.position = export.run.position
        run.memory = export.run.memory
        if self.memory_used + max(run.memory, job.reserved_tokens) > self.settings.memory:
            return self.failure("resume", "memory full", Reason.NO_MEMORY)
        run.phase = Phase.IMPORTING
        self.log_event("started", run)
        self.add_run(run)
        if not self.faults.stall_imports:
            self.schedule(self.copy_seconds(run), self.finish_import, run, ticket)
        return True

    def finish_import(self, run, ticket):
        """Continue a job whose KV cache has been imported."""
        if self.runs.get(run.job.job_id) is not run:
            return
        self.exports.pop(ticket, None)
        if run.position < run.prefill_end:
            run.phase = Phase.PREFILL
            self.prefilling.append(run)
            self.prefilling.sort(key=JobRun.sort_key)
        else:
            run.phase = Phase.DECODE
            self.decoding[run.job.job_id] = run
        self.schedule_step()

    def discard_now(self, ticket):
        """Delete an export if it still exists."""
        self.exports.pop(ticket, None)
        return True

    def jobs_now(self):
        """Return the `JobState` of all jobs and exports."""
        now = self.now()
        running = [
            JobState(name, run.job.owner, run.kind(), run.memory, now - run.created_at)
            for name, run in self.runs.items()
        ]
        parked = [
            JobState(
                name,
                export.run.job.owner,
                export.kind(),
                export.run.memory,
                now - export.created_at,
            )
            for name, export in self.exports.items()
        ]
        return tuple(running + parked)

    # Memory.

    def add_run(self, run):
        """Add a job and account for its memory."""
        self.runs[run.job.job_id] = run
        self.memory_used += run.memory
        self.trim_cache()

    def finish(self, run, reason, tokens=()):
        """Remove a job, free its memory and return its last `Output`."""
        name = run.job.job_id
        del self.runs[name]
        self.decoding.pop(name, None)
        if run in self.prefilling:
            self.prefilling.remove(run)
        self.memory_used -= run.memory
        if run.pinned:
            self.cache.unpin(run.job.blocks)
            run.pinned = False
            self.trim_cache()
        self.log_event("finished", run, reason.value)
        if not self.runs:
            self.record_load(force=True)
        return Output(name, run.generated - len(tokens), tokens, reason, run.cached)

    def trim_cache(self):
        """Evict cached blocks that no longer fit into the memory that the jobs leave free."""
        self.cache.trim((self.settings.memory - self.memory_used) // self.settings.block)
        self.schedule_events()

    def evict_jobs(self, outputs):
        """Evict the jobs of the lowest priority while they use more memory than there is."""
        while self.memory_used > self.settings.memory:
            victim = max(self.runs.values(), key=JobRun.sort_key)
            outputs.append(self.finish(victim, Finish.OUT_OF_MEMORY))

    # Batch steps.

    def schedule_step(self):
        """Plan the next step and set its timer, if there is work and no step in progress."""
        if self.timer or self.step_overdue or not (self.prefilling or self.decoding):
            return
        self.prefill_plan = self.plan_prefill()
        if any(run.crashes for run, _ in self.prefill_plan):
            self.log_event("crashed", self.prefill_plan[0][0])
            self.die()
            return
        seconds = self.loop_seconds(self.step_time() * self.faults.slow)
        # `step_seconds` is an exponentially weighted moving average.
        average = self.step_seconds or seconds
        self.step_seconds = 0.8 * average + 0.2 * seconds
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.end_step)

    def plan_prefill(self):
        """Return the (run, tokens) pairs to prefill, by priority and arrival."""
        left = self.settings.prefill_budget
        plan = []
        for run in self.prefilling:
            if left <= 0:
                break
            take = min(run.chunk, run.prefill_end - run.position, left)
            plan.append((run, take))
            left -= take
        return plan

    def step_time(self):
        """Return the modelled duration of the planned step in seconds."""
        settings = self.settings
        seconds = settings.base_step + settings.stream_step * len(self.decoding)
        seconds *= settings.tokens_per_step
        for run, take in self.prefill_plan:
            attention = settings.attention_cost * take * (run.position + take / 2)
            seconds += take / settings.prefill_rate + attention
        remote_segments = sum(
            len(run.job.segments) for run in self.decoding.values() if run.job.segments
        )
        return seconds + remote_segments * settings.segment_step

    def end_step(self):
        """Apply the step that has just ended and start the next one."""
        self.timer = None
        if self.frozen:
            self.step_overdue = True
            return
        self.steps_run += 1
        outputs = self.decode()
        self.prefill(outputs)
        if self.memory_used > self.settings.memory:
            self.evict_jobs(outputs)
        self.publish(outputs)
        self.record_load()
        self.schedule_step()

    def decode(self):
        """Decode one step of each stream and return the outputs."""
        outputs = []
        for run in tuple(self.decoding.values()):
            if run.job.segments and not all(map(self.segment_alive, run.job.segments)):
                outputs.append(self.finish(run, Finish.REJECTED))
            else:
                outputs.append(self.generate(run))
        return outputs

    def generate(self, run):
        """Return the next output of one stream; a stream that reached its length is finished."""
        offset = run.generated
        count = max(0, min(self.settings.tokens_per_step, run.length - offset))
        seed = run.seed
        tokens = tuple(token_at(seed, k) for k in range(offset, offset + count))
        run.generated = offset + count
        run.memory += count
        self.memory_used += count
        if run.generated >= run.length:
            return self.finish(run, Finish.STOP if run.stops_naturally else Finish.LENGTH, tokens)
        return Output(run.job.job_id, offset, tokens, Finish.NONE, run.cached)

    def prefill(self, outputs):
        """Advance the planned prefills and add the outputs of the finished ones to `outputs`."""
        for run, take in self.prefill_plan:
            if self.runs.get(run.job.job_id) is not run:
                continue
            run.position += take
            if run.position >= run.prefill_end:
                outputs.append(self.end_prefill(run))
        self.prefill_plan = []

    def end_prefill(self, run):
        """Return the first output of a finished prefill; a segment is held without tokens."""
        self.prefilling.remove(run)
        if run.job.kind is JobKind.SEGMENT:
            run.phase = Phase.HELD
            return Output(run.job.job_id, 0, (), Finish.PREFILLED)
        if run.job.blocks and not run.job.segments:
            self.cache.pin(run.job.blocks)
            run.pinned = True
            self.schedule_events()
        run.phase = Phase.DECODE
        self.decoding[run.job.job_id] = run
        return self.generate(run)

    def publish(self, outputs):
        """Send one `Step` to every open stream."""
        self.sequence += 1
        if not self.step_streams:
            return
        step = Step(self.sequence, tuple(outputs), self.lagging_load())
        for stream in self.step_streams:
            stream.put(step)

    # Load and cache events.

    def record_load(self, force=False):
        """Record the current load for the delayed load reports."""
        now = self.now()
        period = self.loop_seconds(self.settings.load_period)
        if not force and self.loads and now - self.loads[-1][0] < period:
            return
        self.loads.append((now, self.current_load()))
        cutoff = now - self.loop_seconds(self.settings.load_lag)
        while len(self.loads) > 1 and self.loads[1][0] <= cutoff:
            self.loads.popleft()

    def current_load(self):
        """Return the current load."""
        seconds = self.step_seconds
        streams = len(self.decoding)
        return EngineLoad(
            running=streams,
            waiting=len(self.prefilling),
            memory_used=self.memory_used,
            memory_total=self.settings.memory,
            prefill_backlog=sum(run.prefill_end - run.position for run in self.prefilling),
            step_seconds=seconds,
            models=self.artifacts.model_names(),
            adapters=self.artifacts.adapter_names(),
            role=self.artifacts.role,
            tokens_per_second=streams * self.settings.tokens_per_step / seconds if seconds else 0,
        )

    def lagging_load(self):
        """Return the newest load at least as old as `load_lag`, otherwise the oldest recorded."""
        if not self.loads:
            self.record_load(force=True)
        cutoff = self.now() - self.loop_seconds(self.settings.load_lag)
        while len(self.loads) > 1 and self.loads[1][0] <= cutoff:
            self.loads.popleft()
        return self.loads[0][1]

    def schedule_events(self):
        """Schedule the publication of prefix cache changes after `event_lag`."""
        if self.events_due or not (self.cache.added or self.cache.removed):
            return
        self.events_due = True
        self.schedule(self.settings.event_lag, self.publish_events)

    def publish_events(self):
        """Publish one cache event, or lose it, which leaves a gap in the sequence numbers."""
        self.events_due = False
        added, removed = self.cache.take_changes()
        self.event_sequence += 1
        if self.random.random() < self.settings.event_loss:
            return
        event = CacheEvent(self.event_sequence, added, removed)
        for stream in self.event_streams:
            stream.put(event)

    # Faults.

    def die(self):
        """Lose all memory and connections, as when the process is killed."""
        self.dead = True
        self.incarnation += 1
        self.frozen = False
        if self.timer:
            self.timer.cancel()
        for stream in [*self.step_streams, *self.event_streams]:
            stream.end()
        self.step_streams.clear()
        self.event_streams.clear()
        self.deferred_calls.clear()
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
        deferred, self.deferred_calls = self.deferred_calls, []
        for effect, answer in deferred:
            result = effect()
            if not answer.done():
                answer.set_result(result)
        if self.step_overdue:
            self.step_overdue = False
            self.end_step()

    def silence_steps(self):
        """Mute the open streams for good; new ones work."""
        for stream in [*self.step_streams, *self.event_streams]:
            stream.muted = True

    # Helpers.

    def now(self):
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def loop_seconds(self, seconds):
        """Convert modelled `seconds` to seconds of the event loop."""
        return seconds / self.speed

    def copy_seconds(self, run):
        """Return the duration of a copy of the KV cache of a job, in seconds of the event loop."""
        return self.loop_seconds(run.memory / self.settings.copy_rate)

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
