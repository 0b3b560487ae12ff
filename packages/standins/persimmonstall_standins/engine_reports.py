"""Steps, load reports and cache events that the stand-in engine sends."""

import weakref
from collections import deque
from random import Random

from persimmonstall.outside.engine import CacheEvent, EngineLoad, Step

from .engine_state import Stream


class Reports:
    """Sends what one engine reports, delayed as its settings say."""

    def __init__(self, engine):
        self.engine = engine
        self.random = Random(f"{engine.settings.seed}/{engine.name}")
        self.step_streams = weakref.WeakSet()
        self.event_streams = weakref.WeakSet()
        self.reset()

    def reset(self):
        """Set the state of a started engine; streams stay open."""
        self.sequence = 0
        self.event_sequence = 0
        self.events_due = False
        self.loads = deque()

    def open_stream(self, streams):
        """Return a new `Stream`, which ends when the engine dies."""
        stream = Stream()
        if self.engine.dead:
            stream.end()
        else:
            streams.add(stream)
        return stream

    def open_streams(self):
        """Return all streams that are open."""
        return [*self.step_streams, *self.event_streams]

    def end_streams(self):
        """End and forget all streams."""
        for stream in self.open_streams():
            stream.end()
        self.step_streams.clear()
        self.event_streams.clear()

    def publish(self, outputs):
        """Send one `Step` to every open stream."""
        self.sequence += 1
        if not self.step_streams:
            return
        step = Step(self.sequence, tuple(outputs), self.lagging_load())
        for stream in self.step_streams:
            stream.put(step)

    def record_load(self, force=False):
        """Record the current load for the delayed load reports."""
        engine = self.engine
        now = engine.now()
        period = engine.loop_seconds(engine.settings.load_period)
        if not force and self.loads and now - self.loads[-1][0] < period:
            return
        self.loads.append((now, self.current_load()))
        self.drop_old_loads(now)

    def drop_old_loads(self, now):
        """Drop the loads before the newest one that is at least as old as `load_lag`."""
        cutoff = now - self.engine.loop_seconds(self.engine.settings.load_lag)
        while len(self.loads) > 1 and self.loads[1][0] <= cutoff:
            self.loads.popleft()

    def current_load(self):
        """Return the current load."""
        engine = self.engine
        seconds = engine.step_seconds
        streams = len(engine.decoding)
        tokens = streams * engine.settings.tokens_per_step
        return EngineLoad(
            running=streams,
            waiting=len(engine.prefilling),
            memory_used=engine.memory_used,
            memory_total=engine.settings.memory,
            prefill_backlog=sum(run.prefill_end - run.position for run in engine.prefilling),
            step_seconds=seconds,
            models=engine.artifacts.model_names(),
            adapters=engine.artifacts.adapter_names(),
            role=engine.artifacts.role,
            tokens_per_second=tokens / seconds if seconds else 0,
        )

    def lagging_load(self):
        """Return the newest load at least as old as `load_lag`, otherwise the oldest recorded."""
        if not self.loads:
            self.record_load(force=True)
        self.drop_old_loads(self.engine.now())
        return self.loads[0][1]

    def schedule_events(self):
        """Schedule the publication of prefix cache changes after `event_lag`."""
        engine = self.engine
        if self.events_due or not (engine.cache.added or engine.cache.removed):
            return
        self.events_due = True
        engine.schedule(engine.settings.event_lag, self.publish_events)

    def publish_events(self):
        """Publish one cache event, or lose it, which leaves a gap in the sequence numbers."""
        self.events_due = False
        added, removed = self.engine.cache.take_changes()
        self.event_sequence += 1
        if self.random.random() < self.engine.settings.event_loss:
            return
        event = CacheEvent(self.event_sequence, added, removed)
        for stream in self.event_streams:
            stream.put(event)
