"""HTTP client of a model engine; it streams steps and cache events as JSON lines."""

import asyncio

import aiohttp
import msgspec

from persimmonstall.failures import Reason
from persimmonstall.outside.engine import CacheEvent, Engine, Step

from ..bounded_body import LineReader
from ..observe import logs
from . import wire
from .http_client import HttpClient

LOG = logs.get("engine_client")

MAX_LINE_BYTES = 1 << 22
"""Maximum length of a line in a stream, in bytes."""

START_CALL = wire.Call(None, bool)
"""Response type of `submit` and `resume`; `wire.encode_with_prompt` encodes their requests."""


class LineStream:
    """An async iterator of the records in a stream of JSON lines.

    It connects when it is created and ends when the connection is lost.
    """

    def __init__(self, session, url, record_type):
        self.session = session
        self.url = url
        self.decoder = msgspec.json.Decoder(record_type)
        self.response = None
        self.lines = None
        self.connecting = asyncio.get_running_loop().create_task(self.connect())

    async def connect(self):
        """Open the connection and return the response, or None on failure."""
        limit = aiohttp.ClientTimeout(total=None)
        try:
            return await self.session.get(self.url, timeout=limit, allow_redirects=False)
        except (aiohttp.ClientError, OSError):
            return None

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.response is None:
            self.response = await asyncio.shield(self.connecting)
            self.lines = LineReader(self.response, MAX_LINE_BYTES)
        line = await self.read_line()
        try:
            if line:
                return self.decoder.decode(line)
        except msgspec.MsgspecError as error:
            LOG.warning("step_unreadable", reason=repr(error), peer=self.url)
        await self.aclose()
        raise StopAsyncIteration

    async def read_line(self):
        """Return the next line, or empty bytes once the connection is lost.

        A line without a newline was cut off by a lost connection and is dropped.
        """
        if self.response is None or self.response.status != 200:
            return b""
        try:
            line = await self.lines.read()
        except (aiohttp.ClientError, OSError, ValueError):
            return b""
        return line if line.endswith(b"\n") else b""

    async def aclose(self):
        """Close the connection."""
        self.connecting.cancel()
        if self.response:
            self.response.close()


class HttpEngine(HttpClient, Engine):
    """Client of one engine; a failed connection or a timeout is an `ENDPOINT_LOST`.

    Only a call that failed with "not connected" certainly did not reach the engine.
    """

    calls = wire.ENGINE
    no_effect_reason = Reason.ENDPOINT_LOST
    unknown_outcome_reason = Reason.ENDPOINT_LOST

    async def submit(self, job, timeout):
        """Start `job`; return True or a `Failure`."""
        body = wire.encode_with_prompt((), job)
        return await self.exchange(
            "submit", body, START_CALL, timeout, self.unknown_outcome_reason
        )

    async def resume(self, ticket, job, timeout):
        """Import a parked job's KV cache and continue it as `job`; return True or a `Failure`."""
        body = wire.encode_with_prompt((ticket,), job)
        return await self.exchange(
            "resume", body, START_CALL, timeout, self.unknown_outcome_reason
        )

    async def cancel(self, job_id, timeout):
        """Stop a job and free its memory; return True or a `Failure`."""
        return await self.call("cancel", (job_id,), timeout)

    async def set_priority(self, job_id, priority, timeout):
        """Change a job's priority; return True or a `Failure`."""
        return await self.call("set_priority", (job_id, priority), timeout)

    async def park(self, job_id, timeout):
        """Export a job's KV cache; return the ticket of the export or a `Failure`."""
        return await self.call("park", (job_id,), timeout)

    async def discard(self, ticket, timeout):
        """Delete the export with this ticket; return True or a `Failure`."""
        return await self.call("discard", (ticket,), timeout)

    def steps(self):
        """Return an async iterator of `Step`."""
        return LineStream(self.open_session(), f"{self.url}/steps", Step)

    def cache_events(self):
        """Return an async iterator of `CacheEvent`."""
        return LineStream(self.open_session(), f"{self.url}/cache_events", CacheEvent)

    async def jobs(self, timeout):
        """Return the jobs that the engine lists, as a tuple of `JobState`, or a `Failure`."""
        return await self.call("jobs", (), timeout, reading=True)

    async def load(self, timeout):
        """Return the `EngineLoad` or a `Failure`."""
        return await self.call("load", (), timeout, reading=True)

    async def order(self, order, timeout):
        """Carry out `order`; return True or a `Failure`."""
        return await self.call("order", (order,), timeout)
