"""Sinks for output tokens and functions that make HTTP responses."""

from aiohttp import web

from ..request import Sink
from . import render


class DiscardingSink(Sink):
    """Discards the tokens, since an unstreamed answer is rendered from `Answer.tokens`."""

    async def write(self, tokens):
        """Discard `tokens`."""


class EventSink(Sink):
    """Streams tokens as server-sent events.

    The response starts with the first token, so that an earlier refusal can still set the HTTP
    status.
    """

    def __init__(self, http_request, parsed, tokeniser, created):
        self.http_request = http_request
        self.parsed = parsed
        self.tokeniser = tokeniser
        self.created = created
        self.response = None

    async def start(self):
        """Send the response headers."""
        headers = {
            "Content-Type": "text/event-stream; charset=utf-8",
            "Cache-Control": "no-cache",
            render.REQUEST_HEADER: self.parsed.request.request_id,
        }
        self.response = web.StreamResponse(headers=headers)
        await self.response.prepare(self.http_request)

    async def write(self, tokens):
        """Send new tokens as one event; waits while the caller reads slowly."""
        first = self.response is None
        if first:
            await self.start()
        text = self.tokeniser.text(tokens)
        body = render.chunk_body(self.parsed, self.created, text, first=first)
        await self.response.write(render.event(body))

    async def finish(self, answer, prompt_tokens):
        """Send the finish reason, the usage if requested, and the `[DONE]` event."""
        if self.response is None:
            await self.start()
        body = render.chunk_body(self.parsed, self.created, "", answer.finish)
        data = render.event(body)
        if self.parsed.include_usage:
            usage = render.usage_chunk(self.parsed, self.created, answer, prompt_tokens)
            data += render.event(usage)
        await self.response.write(data + render.DONE)
        await self.response.write_eof()

    async def fail(self, refusal):
        """End a started stream with an error event and without the `[DONE]` event."""
        body = render.error_body(refusal, self.parsed.request.request_id)
        await self.response.write(render.event(body))
        await self.response.write_eof()


def json_response(body, status=200, headers=None):
    """Return a JSON response."""
    data = render.orjson.dumps(body)
    return web.Response(body=data, status=status, headers=headers, content_type="application/json")


def refusal_response(refusal, request_id=""):
    """Return the HTTP response of a refusal."""
    return json_response(
        render.error_body(refusal, request_id),
        render.http_status(refusal),
        render.error_headers(refusal, request_id),
    )
