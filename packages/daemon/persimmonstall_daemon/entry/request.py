"""What a caller sent, and what became of it."""

import abc

import attrs


@attrs.frozen
class CallerRequest:
    """A parsed request that is not yet authenticated; `deadline` is in seconds from arrival.

    `max_tokens` 0 and `deadline` 0 ask for the defaults.
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
    """A whole answer; times are in the local clock's seconds.

    For a plain service `status`, `body` and `content_type` are its answer.
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
    """Where a request's output tokens go."""

    @abc.abstractmethod
    async def write(self, tokens):
        """Give new tokens to the caller; waits while the caller is slow."""


class NullSink(Sink):
    """Drops the tokens; the `Answer` has their count."""

    async def write(self, tokens):
        """Drop `tokens`."""
