"""Batch steps of the stand-in engine: prefill and decode.

A single timer drives the steps, so that an idle engine uses no CPU time.
"""

import asyncio

from persimmonstall.outside.engine import Finish, JobKind, Output

from .engine_state import Phase
from .output import token_at


class Batch:
    """Runs the steps of one engine."""

    def __init__(self, engine):
        self.engine = engine
        self.reset()

    def reset(self):
        """Set the state of a started engine."""
        self.timer = None
        self.step_overdue = False
        self.prefill_plan = []

    def stop(self):
        """Cancel the step in progress."""
        if self.timer:
            self.timer.cancel()

    def end_overdue_step(self):
        """End the step whose time came while the engine was frozen."""
        if self.step_overdue:
            self.step_overdue = False
            self.end_step()

    def schedule_step(self):
        """Plan the next step and set its timer, if there is work and no step in progress."""
        engine = self.engine
        if self.timer or self.step_overdue or not (engine.prefilling or engine.decoding):
            return
        self.prefill_plan = self.plan_prefill()
        if any(run.crashes for run, _ in self.prefill_plan):
            engine.log_event("crashed", self.prefill_plan[0][0])
            engine.die()
            return
        seconds = engine.loop_seconds(self.step_time() * engine.faults.slow)
        # `step_seconds` is an exponentially weighted moving average.
        average = engine.step_seconds or seconds
        engine.step_seconds = 0.8 * average + 0.2 * seconds
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.end_step)

    def plan_prefill(self):
        """Return the (run, tokens) pairs to prefill, by priority and arrival."""
        left = self.engine.settings.prefill_budget
        plan = []
        for run in self.engine.prefilling:
            if left <= 0:
                break
            take = min(run.chunk, run.prefill_end - run.position, left)
            plan.append((run, take))
            left -= take
        return plan

    def step_time(self):
        """Return the modelled duration of the planned step in seconds."""
        engine = self.engine
        settings = engine.settings
        seconds = settings.base_step + settings.stream_step * len(engine.decoding)
        seconds *= settings.tokens_per_step
        for run, take in self.prefill_plan:
            attention = settings.attention_cost * take * (run.position + take / 2)
            seconds += take / settings.prefill_rate + attention
        remote_segments = sum(
            len(run.job.segments) for run in engine.decoding.values() if run.job.segments
        )
        return seconds + remote_segments * settings.segment_step

    def end_step(self):
        """Apply the step that has just ended and start the next one."""
        engine = self.engine
        self.timer = None
        if engine.frozen:
            self.step_overdue = True
            return
        engine.steps_run += 1
        outputs = self.decode()
        self.prefill(outputs)
        if engine.memory_used > engine.settings.memory:
            engine.job_table.evict_jobs(outputs)
        engine.reports.publish(outputs)
        engine.reports.record_load()
        self.schedule_step()

    def decode(self):
        """Decode one step of each stream and return the outputs."""
        engine = self.engine
        outputs = []
        for run in tuple(engine.decoding.values()):
            if run.job.segments and not all(map(engine.segment_alive, run.job.segments)):
                outputs.append(engine.job_table.finish(run, Finish.REJECTED))
            else:
                outputs.append(self.generate(run))
        return outputs

    def generate(self, run):
        """Return the next output of one stream; a stream that reached its length is finished."""
        engine = self.engine
        offset = run.generated
        count = max(0, min(engine.settings.tokens_per_step, run.length - offset))
        seed = run.seed
        tokens = tuple(token_at(seed, k) for k in range(offset, offset + count))
        run.generated = offset + count
        run.memory += count
        engine.memory_used += count
        if run.generated >= run.length:
            reason = Finish.STOP if run.stops_naturally else Finish.LENGTH
            return engine.job_table.finish(run, reason, tokens)
        return Output(run.job.job_id, offset, tokens, Finish.NONE, run.cached)

    def prefill(self, outputs):
        """Advance the planned prefills and add the outputs of the finished ones to `outputs`."""
        self.engine.prefilled_tokens += sum(take for _, take in self.prefill_plan)
        for run, take in self.prefill_plan:
            if self.engine.runs.get(run.job.job_id) is not run:
                continue
            run.position += take
            if run.position >= run.prefill_end:
                outputs.append(self.end_prefill(run))
        self.prefill_plan = []

    def end_prefill(self, run):
        """Return the first output of a finished prefill; a segment is held without tokens."""
        engine = self.engine
        engine.prefilling.remove(run)
        if run.job.kind is JobKind.SEGMENT:
            run.phase = Phase.HELD
            return Output(run.job.job_id, 0, (), Finish.PREFILLED)
        if run.job.blocks and not run.job.segments:
            engine.cache.pin(run.job.blocks)
            run.pinned = True
            engine.reports.schedule_events()
        run.phase = Phase.DECODE
        engine.decoding[run.job.job_id] = run
        return self.generate(run)
