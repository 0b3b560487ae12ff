"""Where a request's tokens go: into one body, or out as server-sent events."""

from aiohttp import web

from ..request import Sink
from . import render


class Collector(Sink):
    """Keeps nothing: an answer that is not streamed is rendered from its tokens."""

    async def write(self, tokens):
        """Take `tokens`; the answer carries them all at its end."""


class EventSink(Sink):
    """Streams tokens as events; the response starts with the first token.

    A refusal before that still gets an HTTP status of its own.
    """

    def __init__(self, http_request, parsed, tokeniser, created):
        self.http_request = http_request
        self.parsed = parsed
        self.tokeniser = tokeniser
        self.created = created
        self.response = None

    async def start(self):
        """Send the headers and, for chat, the role."""
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
        """Send the finish reason, the usage if it was asked for, and the end mark."""
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
        """End a stream that has begun with an error event and without the end mark."""
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
        render.status(refusal),
        render.error_headers(refusal, request_id),
    )
