"""A caller's request in the pipeline, and the messages about its attempts."""

import attrs

from ..outside.engine import SegmentRef


@attrs.frozen
class ClaimTicket:
    """Data that an endpoint's daemon needs to claim non-idempotent work before it runs it.

    `row` is the key of the claim's row, `generation` the generation to be claimed and `expected`
    the version that the row must have.  `body_hash` is the hash of the request body; `issued` is
    in Unix seconds.
    """

    row: str
    generation: int
    body_hash: str
    expected: int
    issued: float = 0.0


@attrs.frozen
class Work:
    """One request, independent of its attempts.

    `deadline` and `arrived` are times of the local monotonic clock, in seconds.  `blocks` are
    chained hashes of the prompt's full blocks.  `service` is empty for a request to a model,
    otherwise the plain service whose `method` is called with `prompt` as the body.  `key_made`
    means that the entry generated the idempotency key, so that no other request can have it.
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
    """An attempt to serve a request, sent by an entry to an endpoint's daemon.

    `remaining` is the time until the deadline in seconds.  `relayed` are the output tokens that
    the caller already has, after which the attempt resumes; `version` and `adapter_version` are
    the versions that generated them, empty for any.  `suspect` asks that the attempt run alone on
    its engine.  `segments` are the parts of a long prompt that other engines have prefilled.  If
    `segment_end` is not 0, the attempt only prefills prompt tokens [segment_start, segment_end).
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
    """The entry no longer needs this attempt."""

    request_id: str
    attempt: int


@attrs.frozen
class Credit:
    """Flow control: the entry has consumed the attempt's output up to token `offset`."""

    request_id: str
    attempt: int
    offset: int


@attrs.frozen
class Attach:
    """Ask for the attempt's output from token `offset` on, over a new connection."""

    request_id: str
    attempt: int
    offset: int
    remaining: float


@attrs.frozen
class Started:
    """Versions of the weights that the attempt runs on; sent before its first tokens."""

    request_id: str
    attempt: int
    version: str
    adapter_version: str = ""


@attrs.frozen
class Chunk:
    """New tokens of one attempt, starting at token `offset`."""

    request_id: str
    attempt: int
    offset: int
    tokens: tuple[int, ...]


@attrs.frozen
class Chunks:
    """New tokens of one engine step for all attempts of one entry."""

    chunks: tuple[Chunk, ...]


@attrs.frozen
class End:
    """End of a complete output of `count` tokens.

    `finish` is why it ended, `cached` the number of prompt tokens found in the prefix cache.
    For a plain service, `status`, `body` and `content_type` are its response.
    For a prefilled segment, `body` is the job id that the segment is held under.
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
