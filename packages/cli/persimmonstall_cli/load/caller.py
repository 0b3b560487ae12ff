"""Client of the load generator: sends one chat completion and reads its whole response."""

import asyncio
import time

import aiohttp
import attrs
import orjson

from .plan import make_prompt

DATA_PREFIX = b"data: "
DONE = b"[DONE]"
DEADLINE_HEADER = "X-Persimmonstall-Deadline"
GRACE_SECONDS = 5.0
"""Time for which a caller waits past its deadline, so that late answers are seen too."""

MAX_WAIT_SECONDS = 960.0
"""Timeout in seconds of a request without a deadline of its own."""


@attrs.define
class Result:
    """Result of one request; times are in seconds from when it was due to be sent.

    `status` is the HTTP status, 0 if there was no connection; `code` is the error code.
    `outcome` is "whole", "not_run", "unknown", or "broken" if the answer was cut off.
    `first_token` is the time to first token. `send_delay` is how late the request was sent.
    """

    planned: object
    status: int = 0
    code: str = ""
    outcome: str = "broken"
    first_token: float | None = None
    ended: float = 0.0
    tokens: int = 0
    retry_after: float | None = None
    send_delay: float = 0.0
    phase: str = "mixed"

    @property
    def whole(self):
        """Whether the whole answer arrived."""
        return self.outcome == "whole"

    @property
    def token_interval(self):
        """Mean time between output tokens, None with fewer than two."""
        if self.first_token is None or self.tokens < 2:
            return None
        return (self.ended - self.first_token) / (self.tokens - 1)


class Caller:
    """Sends the planned requests of a load over one aiohttp session."""

    def __init__(self, session, load, key):
        self.session = session
        self.load = load
        self.headers = {"Authorization": f"Bearer {key}"}
        if load.deadline:
            self.headers[DEADLINE_HEADER] = f"{load.deadline:g}"
        self.timeout = load.deadline + GRACE_SECONDS if load.deadline else MAX_WAIT_SECONDS

    def body(self, planned):
        """Return the JSON body of a planned request."""
        body = {
            "model": self.load.model,
            "messages": [{"role": "user", "content": make_prompt(planned, self.load)}],
            "max_tokens": self.load.max_tokens,
            "stream": planned.stream,
        }
        if planned.stream:
            body["stream_options"] = {"include_usage": True}
        return orjson.dumps(body)

    async def call(self, url, planned, due):
        """Send one request, due at `due` on the monotonic clock; return its `Result`."""
        result = Result(planned)
        result.send_delay = time.monotonic() - due
        try:
            async with asyncio.timeout(self.timeout):
                await self.exchange(url, planned, due, result)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            result.code = result.code or type(error).__name__
        result.ended = time.monotonic() - due
        return result

    async def exchange(self, url, planned, due, result):
        """Send the request and record its response in `result`."""
        headers = self.headers | {"Content-Type": "application/json"}
        path = f"{url}/v1/chat/completions"
        async with self.session.post(path, data=self.body(planned), headers=headers) as answer:
            result.status = answer.status
            if answer.status != 200:
                record_error(result, await answer.read())
            elif planned.stream:
                await read_stream(answer, due, result)
            else:
                record_answer(result, await answer.read())


async def read_stream(answer, due, result):
    """Read server-sent events up to `[DONE]` and record them in `result`."""
    finished = False
    async for line in answer.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == DONE:
            result.outcome = "whole" if finished else "broken"
            return
        event = orjson.loads(data)
        if "error" in event:
            record_error(result, data)
            return
        if event.get("usage"):
            result.tokens = event["usage"]["completion_tokens"]
        for choice in event["choices"]:
            if choice.get("delta", {}).get("content") and result.first_token is None:
                result.first_token = time.monotonic() - due
            finished = finished or choice.get("finish_reason") is not None


def record_answer(result, data):
    """Record the body of a response that is not streamed."""
    body = orjson.loads(data)
    result.tokens = body["usage"]["completion_tokens"]
    result.outcome = "whole"


def record_error(result, data):
    """Record an error object; any other body counts as outcome "unknown"."""
    result.outcome = "unknown"
    try:
        error = orjson.loads(data)["error"]
        result.code = error["code"]
        result.outcome = error["outcome"]
        result.retry_after = error.get("retry_after")
    except (orjson.JSONDecodeError, KeyError, TypeError):
        result.code = result.code or "malformed_error"
