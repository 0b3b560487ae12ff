"""A caller's request as it flows through the pipeline."""

import attrs

from ..outside.engine import SegmentRef


@attrs.frozen
class ClaimTicket:
    """Proof needed to run non-idempotent work: the row and generation to be won.

    `body_hash` is the hash of the request body; `row` is the key of the claim's row and
    `expected` the version it must be at; `issued` is in Unix seconds.
    """

    row: str
    generation: int
    body_hash: str
    expected: int
    issued: float = 0.0


@attrs.frozen
class Work:
    """One request, independent of how often and where it is attempted.

    `deadline` is an absolute time of the local monotonic clock, in seconds.  `blocks` are
    chained hashes of the prompt's full blocks.  `service` is empty for a model's request,
    else the plain service whose `method` is called with `prompt` as its body.  `key_made`:
    the idempotency key was made by the entry, so that no other request can carry it.
    """

    request_id: str
    organisation: str
    prompt: bytes
    deadline: float
    arrived: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    predicted_tokens: int = 0
    priority: int = 0
    length_class: str = ""
    blocks: tuple[int, ...] = ()
    fingerprint: str = ""
    service: str = ""
    method: str = ""
    content_type: str = "application/json"
    idempotent: bool = True
    key: str = ""
    key_made: bool = False
    body_hash: str = ""
    ticket: ClaimTicket | None = None


@attrs.frozen
class Submit:
    """An attempt of a request, sent by an entry to an endpoint's daemon.

    `remaining` is the time left in seconds; `relayed` are the output tokens that the caller
    already has, from which the attempt resumes.  `suspect` asks for a run without company.
    `version` and `adapter_version` are those that the relayed tokens came from, empty for any.
    """

    request_id: str
    attempt: int
    endpoint: str
    organisation: str
    prompt: bytes
    remaining: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    predicted_tokens: int = 0
    priority: int = 0
    length_class: str = ""
    blocks: tuple[int, ...] = ()
    fingerprint: str = ""
    service: str = ""
    method: str = ""
    content_type: str = "application/json"
    idempotent: bool = True
    ticket: ClaimTicket | None = None
    relayed: tuple[int, ...] = ()
    suspect: bool = False
    segments: tuple[SegmentRef, ...] = ()
    segment_start: int = 0
    segment_end: int = 0
    version: str = ""
    adapter_version: str = ""


@attrs.frozen
class Cancel:
    """The entry no longer wants this attempt."""

    request_id: str
    attempt: int


@attrs.frozen
class Credit:
    """The entry has consumed the attempt's output up to `offset` tokens (flow control)."""

    request_id: str
    attempt: int
    offset: int


@attrs.frozen
class Attach:
    """Ask for the attempt's output from `offset` on, over a new connection."""

    request_id: str
    attempt: int
    offset: int
    remaining: float


@attrs.frozen
class Started:
    """The attempt runs on these versions of the weights; sent before its first tokens."""

    request_id: str
    attempt: int
    version: str
    adapter_version: str = ""


@attrs.frozen
class Chunk:
    """New tokens of one attempt, from `offset`."""

    request_id: str
    attempt: int
    offset: int
    tokens: tuple[int, ...]


@attrs.frozen
class Chunks:
    """The new tokens of one engine step, for all attempts of one entry."""

    chunks: tuple[Chunk, ...]


@attrs.frozen
class End:
    """The end mark of a whole answer of `count` tokens.

    For a plain service `status`, `body` and `content_type` are its answer.
    """

    request_id: str
    attempt: int
    count: int
    finish: str
    cached: int = 0
    status: int = 0
    body: bytes = b""
    content_type: str = ""


@attrs.frozen
class Refused:
    """The attempt was not served; `outcome` says whether it may have been run."""

    request_id: str
    attempt: int
    reason: str
    step: str
    peer: str
    outcome: str
    retry_after: float = 0.0
    detail: str = ""
