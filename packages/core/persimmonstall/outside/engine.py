"""Model engines: batched generation with a limited memory for KV cache.

Lengths and offsets are in tokens, times in seconds.  A job's output is a sequence of token
numbers; the output of a prompt at an offset does not depend on the engine that runs it.
"""

import abc
import enum

import attrs


class JobKind(enum.StrEnum):
    """What a piece of engine memory is held for."""

    GENERATE = "generate"
    SEGMENT = "segment"
    PARKED = "parked"
    EXPORT = "export"
    IMPORT = "import"


@attrs.frozen
class SegmentRef:
    """A part of a prompt's KV cache held on another engine, prompt tokens [start, end)."""

    endpoint: str
    job_id: str
    start: int
    end: int


@attrs.frozen
class Job:
    """One unit of engine work.

    `job_id` is unique to the attempt; `owner` is the daemon run that submitted it.  `blocks`
    are the chained hashes of the prompt's full blocks.  The engine prefills what its prefix
    cache lacks, at most `chunk_tokens` a step, then generates from offset `resume_from` up to
    `max_tokens` in all, holding memory for what it has, at most `reserved_tokens`.
    A SEGMENT job prefills prompt tokens [start, end) and then holds them until it is freed.
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
    """New tokens of one job in one step, from `offset`; `finish` is set on the last one.

    `cached` counts the prompt tokens found in the prefix cache, on the first output.
    """

    job_id: str
    offset: int
    tokens: tuple[int, ...]
    finish: Finish = Finish.NONE
    cached: int = 0


@attrs.frozen
class Step:
    """One batch step; `sequence` grows by one, so that a lost step is noticed."""

    sequence: int
    outputs: tuple[Output, ...]
    load: "EngineLoad | None" = None


@attrs.frozen
class EngineLoad:
    """Lagging load report of an engine.

    `prefill_backlog` is in tokens still to prefill; `step_seconds` is a recent mean.
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
    """One entry of an engine's own list of who holds memory."""

    job_id: str
    owner: str
    kind: JobKind
    memory: int
    age: float


@attrs.frozen
class CacheEvent:
    """Prefix-cache change; `sequence` gaps mean that events were lost."""

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
    """One order; `fence` is refused by checking engines when it is lower than one seen."""

    action: OrderAction
    name: str
    version: str
    fence: int


class Engine(abc.ABC):
    """A continuous-batching engine.

    `steps` and `cache_events` are late; cache events have gaps; `load` lags; any call may
    time out with its effect done.  An engine may freeze, die, or go silent on an open
    connection while new ones work.
    """

    @abc.abstractmethod
    async def submit(self, job, timeout):
        """Start `Job`: True, or a `Failure`.

        NO_MEMORY, BUSY and UNKNOWN_MODEL: certainly not started.
        """

    @abc.abstractmethod
    async def cancel(self, job_id, timeout):
        """Stop a job and free its memory; an unknown job succeeds.  True or a `Failure`."""

    @abc.abstractmethod
    async def set_priority(self, job_id, priority, timeout):
        """Change a job's priority (lower runs first).  True or a `Failure`."""

    @abc.abstractmethod
    async def park(self, job_id, timeout):
        """Export a job's KV cache and free its memory: the ticket (str) or a `Failure`."""

    @abc.abstractmethod
    async def resume(self, ticket, job, timeout):
        """Import a parked job's KV cache and go on as `job`: True or a `Failure`."""

    @abc.abstractmethod
    async def discard(self, ticket, timeout):
        """Delete an export that nobody will import.  True or a `Failure`."""

    @abc.abstractmethod
    def steps(self):
        """Return an async iterator of `Step`; it ends when the connection is lost."""

    @abc.abstractmethod
    def cache_events(self):
        """Return an async iterator of `CacheEvent`; it ends when the connection is lost."""

    @abc.abstractmethod
    async def jobs(self, timeout):
        """Return the engine's own list, a tuple of `JobState`, or a `Failure`."""

    @abc.abstractmethod
    async def load(self, timeout):
        """Return the `EngineLoad` or a `Failure`."""

    @abc.abstractmethod
    async def order(self, order, timeout):
        """Carry out `Order`: True, `Failure(Reason.STALE_FENCE)`, or another `Failure`."""
