"""A caller's request, its answer, and the sink for its output tokens."""

import abc

import attrs


@attrs.frozen
class CallerRequest:
    """A parsed request that is not yet authenticated.

    `secret` is the API key and `key` the idempotency key.  `arrived` is a time of the local
    clock and `deadline` a number of seconds after it.  `max_tokens` 0 and `deadline` 0 stand
    for the defaults.
    """

    request_id: str
    secret: str
    prompt: bytes
    body_hash: str
    arrived: float
    model: str = ""
    adapter: str = ""
    max_tokens: int = 0
    deadline: float = 0.0
    service: str = ""
    method: str = ""
    content_type: str = "application/json"
    idempotent: bool = True
    key: str = ""


@attrs.frozen
class Answer:
    """A complete answer; times are in seconds of the local clock.

    `count` is the number of output tokens, `finish` the finish reason and `cached` the number of
    prompt tokens found in the engine's prefix cache.  `status`, `body` and `content_type` hold
    the answer of a plain service.  `stored` marks an answer replayed for an idempotency key.
    """

    count: int
    finish: str
    first_token_at: float = 0.0
    ended_at: float = 0.0
    attempts: int = 1
    endpoint: str = ""
    cached: int = 0
    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    stored: bool = False
    tokens: tuple[int, ...] = ()


class Sink(abc.ABC):
    """Receives the output tokens of a request."""

    @abc.abstractmethod
    async def write(self, tokens):
        """Write new tokens to the caller; waits while the caller reads slowly."""


class NullSink(Sink):
    """Discards the tokens; the `Answer` has them all."""

    async def write(self, tokens):
        """Discard `tokens`."""
