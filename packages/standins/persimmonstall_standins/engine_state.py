"""Settings, faults and records of the stand-in engine.

Lengths and memory are in tokens, times in modelled seconds.
"""

import asyncio
import enum

import attrs

from persimmonstall.outside.engine import JobKind


@attrs.define
class EngineSettings:
    """Cost model and limits of one engine.

    Prefill of positions [a, b) costs (b - a) / prefill_rate + attention_cost (b² - a²) / 2;
    with the defaults 400,000 tokens cost 60% more than linear.  A step prefills at most
    `prefill_budget` tokens and decodes `tokens_per_step` tokens of each stream.  It takes
    `base_step` and `stream_step` per stream, both times `tokens_per_step`, the time of its
    prefill, and `segment_step` for each remote segment of its streams.  KV caches are copied at
    `copy_rate` tokens per second.  `load_lag` and `event_lag` delay load reports and cache
    events; `event_loss` is the share of cache events that are lost.  An empty `models` accepts
    any model.  A prompt with `crash_marker` crashes the engine when it is prefilled.
    """

    memory: int = 400_000
    host_memory: int = 1_200_000
    base_step: float = 0.015
    stream_step: float = 0.00015
    segment_step: float = 0.002
    prefill_rate: float = 40_000.0
    attention_cost: float = 7.5e-11
    prefill_budget: int = 2048
    chunk_tokens: int = 1024
    tokens_per_step: int = 1
    max_jobs: int = 512
    copy_rate: float = 1_000_000.0
    block: int = 1024
    latency: float = 0.0005
    load_lag: float = 0.5
    load_period: float = 0.1
    event_lag: float = 1.0
    event_loss: float = 0.02
    models: tuple = ()
    adapters: tuple = ()
    model_load: float = 5.0
    adapter_load: float = 1.0
    check_fence: bool = True
    crash_marker: bytes = b"CRASH-ENGINE"
    seed: int = 1


@attrs.define
class EngineFaults:
    """Switches that can be changed while the engine runs.

    `slow` multiplies the duration of a step; `drop_cancel` acknowledges cancels and ignores
    them; `stall_imports` never completes an import; `lose_answers` executes calls and lets
    them time out.
    """

    slow: float = 1.0
    drop_cancel: bool = False
    stall_imports: bool = False
    lose_answers: bool = False


class Phase(enum.Enum):
    """Phase of a job: import of its KV cache, prefill, decode, or a segment held in memory."""

    IMPORTING = "importing"
    PREFILL = "prefill"
    DECODE = "decode"
    HELD = "held"


@attrs.define(eq=False)
class JobRun:
    """A job on the engine.

    `position` is the next prompt position to prefill, up to `prefill_end`; `generated` is the
    offset of the next output token.  The answer ends at `length` tokens, with the reason
    `Finish.STOP` if `stops_naturally` and `Finish.LENGTH` otherwise.
    """

    job: object
    seed: int
    length: int
    stops_naturally: bool
    arrival: int
    created_at: float
    priority: int
    position: int
    prefill_end: int
    generated: int
    memory: int
    chunk: int
    crashes: bool = False
    phase: Phase = Phase.PREFILL
    cached: int = 0
    pinned: bool = False

    def sort_key(self):
        """Return the sort key of the prefill queue."""
        return self.priority, self.arrival

    def kind(self):
        """Return the `JobKind` under which the engine lists this job."""
        return JobKind.IMPORT if self.phase is Phase.IMPORTING else self.job.kind


@attrs.define
class Export:
    """KV cache of a parked job in host memory; `ready` once it is copied completely."""

    ticket: str
    run: JobRun
    created_at: float
    ready: bool = False

    def kind(self):
        """Return the `JobKind` under which the engine lists this export."""
        return JobKind.PARKED if self.ready else JobKind.EXPORT


@attrs.frozen
class LogEntry:
    """One record of the engine's log.

    `event` is "started", "finished", "ordered" or "crashed".  `content` is the seed of the
    answer, equal for equal model, adapter and prompt.
    """

    at: float
    event: str
    job_id: str = ""
    content: int = 0
    detail: str = ""


class Stream:
    """An open iterator of steps or cache events; if `muted` it drops all further items."""

    def __init__(self):
        self.queue = asyncio.Queue()
        self.muted = False
        self.ended = False

    def put(self, item):
        """Queue `item` unless the stream is muted."""
        if not self.muted:
            self.queue.put_nowait(item)

    def end(self):
        """End the iteration after the queued items, as when the connection is reset."""
        self.ended = True
        self.queue.put_nowait(None)

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.ended and self.queue.empty():
            raise StopAsyncIteration
        item = await self.queue.get()
        if item is None:
            raise StopAsyncIteration
        return item

    async def aclose(self):
        """Close the iterator."""
        self.muted = True
        self.end()
