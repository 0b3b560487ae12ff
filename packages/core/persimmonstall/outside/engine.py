"""Model engines: batched generation with limited KV cache memory.

Lengths and offsets are in tokens, times in seconds.  A job's output is a sequence of token ids;
the output of a prompt at an offset does not depend on the engine that runs it.
"""

import abc
import enum

import attrs


class JobKind(enum.StrEnum):
    """Use of a part of an engine's memory."""

    GENERATE = "generate"
    SEGMENT = "segment"
    PARKED = "parked"
    EXPORT = "export"
    IMPORT = "import"


@attrs.frozen
class SegmentRef:
    """KV cache of prompt tokens [start, end) that is held on another engine."""

    endpoint: str
    job_id: str
    start: int
    end: int


@attrs.frozen
class Job:
    """One unit of engine work.

    `job_id` is unique to the attempt; `owner` is the instance and run of the daemon that submitted
    it.  `blocks` are the chained hashes of the prompt's full blocks.  The engine prefills what is
    not in its prefix cache, at most `chunk_tokens` in each step.  It then generates from offset
    `resume_from` up to `max_tokens` in total.  The job uses memory for the tokens so far, at most
    `reserved_tokens`.  A SEGMENT job prefills prompt tokens [start, end) and then holds them until
    it is freed.
    """

    job_id: str
    owner: str
    model: str
    adapter: str
    prompt: bytes
    prompt_tokens: int
    max_tokens: int
    reserved_tokens: int
    priority: int
    kind: JobKind = JobKind.GENERATE
    blocks: tuple[int, ...] = ()
    resume_from: int = 0
    chunk_tokens: int = 0
    start: int = 0
    end: int = 0
    segments: tuple[SegmentRef, ...] = ()
    version: str = ""


class Finish(enum.StrEnum):
    """Why a job's output ended."""

    NONE = ""
    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    PARKED = "parked"
    OUT_OF_MEMORY = "out_of_memory"
    PREFILLED = "prefilled"
    REJECTED = "rejected"


@attrs.frozen
class Output:
    """New tokens of one job in one step, starting at `offset`; the last one has `finish` set.

    In the first output, `cached` is the number of prompt tokens found in the prefix cache.
    """

    job_id: str
    offset: int
    tokens: tuple[int, ...]
    finish: Finish = Finish.NONE
    cached: int = 0


@attrs.frozen
class Step:
    """One batch step; `sequence` increases by one, so that lost steps are detected."""

    sequence: int
    outputs: tuple[Output, ...]
    load: "EngineLoad | None" = None


@attrs.frozen
class EngineLoad:
    """Load report of an engine, which lags.

    `prefill_backlog` is the number of tokens still to prefill; `step_seconds` is a recent mean.
    """

    running: int
    waiting: int
    memory_used: int
    memory_total: int
    prefill_backlog: int
    step_seconds: float
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    tokens_per_second: float = 0.0


@attrs.frozen
class JobState:
    """One item of an engine's list of jobs that hold memory."""

    job_id: str
    owner: str
    kind: JobKind
    memory: int
    age: float


@attrs.frozen
class CacheEvent:
    """Change of the prefix cache; gaps in `sequence` mean that events were lost."""

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class OrderAction(enum.StrEnum):
    """Orders that change what an engine serves."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


@attrs.frozen
class Order:
    """One order; engines that check fencing numbers refuse a `fence` below the highest seen."""

    action: OrderAction
    name: str
    version: str
    fence: int


class Engine(abc.ABC):
    """A continuous-batching engine.

    `steps` and `cache_events` arrive late, cache events have gaps and `load` lags.  A call that
    times out may still have taken effect.  An engine may hang, crash, or stop sending on an open
    connection while new connections work.
    """

    @abc.abstractmethod
    async def submit(self, job, timeout):
        """Start a `Job`; return True or a `Failure`.

        After NO_MEMORY, BUSY and UNKNOWN_MODEL the job has certainly not been started.
        """

    @abc.abstractmethod
    async def cancel(self, job_id, timeout):
        """Stop a job and free its memory; return True, also for an unknown job, or a `Failure`."""

    @abc.abstractmethod
    async def set_priority(self, job_id, priority, timeout):
        """Change a job's priority (lower runs first); return True or a `Failure`."""

    @abc.abstractmethod
    async def park(self, job_id, timeout):
        """Export a job's KV cache and free its memory; return a ticket (str) or a `Failure`."""

    @abc.abstractmethod
    async def resume(self, ticket, job, timeout):
        """Import a parked job's KV cache and continue as `job`; return True or a `Failure`."""

    @abc.abstractmethod
    async def discard(self, ticket, timeout):
        """Delete an export that will not be imported; return True or a `Failure`."""

    @abc.abstractmethod
    def steps(self):
        """Return an async iterator of `Step`s, which ends when the connection is lost."""

    @abc.abstractmethod
    def cache_events(self):
        """Return an async iterator of `CacheEvent`s, which ends when the connection is lost."""

    @abc.abstractmethod
    async def jobs(self, timeout):
        """Return the jobs that hold memory, as a tuple of `JobState`s, or a `Failure`."""

    @abc.abstractmethod
    async def load(self, timeout):
        """Return the `EngineLoad` or a `Failure`."""

    @abc.abstractmethod
    async def order(self, order, timeout):
        """Execute an `Order`; return True or a `Failure`, STALE_FENCE if `fence` is outdated."""
