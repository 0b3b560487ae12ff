"""The HTTP server for callers."""

import uuid

import attrs
from aiohttp import web

from persimmonstall.failures import Outcome, Reason, Refusal

from ..request import Answer
from . import render
from .parse import ChatBody, CompletionBody, parse_generation, parse_service, secret_of
from .sinks import DiscardingSink, EventSink, json_response, refusal_response

SHUTDOWN_SECONDS = 5.0

LINGER_SECONDS = 1.0
"""Time for which the unread rest of a request body is still read and discarded."""


class HttpServer:
    """Serves HTTP requests of callers; `entry` is the `EntryDaemon`."""

    def __init__(self, entry):
        self.entry = entry
        self.runner = None
        self.port = 0

    def make_app(self):
        """Return the aiohttp application."""
        limit = self.entry.settings.callers.body_bytes
        app = web.Application(client_max_size=limit, middlewares=[self.handle_errors])
        app.add_routes(
            [
                web.post("/v1/chat/completions", self.chat),
                web.post("/v1/completions", self.completion),
                web.post("/v1/services/{service}/{method}", self.service),
                web.get("/v1/models", self.models),
                web.get("/v1/models/{model}", self.model),
                web.get("/healthz", self.health),
                web.get("/readyz", self.ready),
            ]
        )
        return app

    async def start(self):
        """Listen on the configured address."""
        host, _, port = self.entry.settings.daemon.http.rpartition(":")
        app = self.make_app()
        self.runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, lingering_time=LINGER_SECONDS
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, int(port), shutdown_timeout=SHUTDOWN_SECONDS)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self):
        """Close the port and the open connections."""
        if self.runner:
            await self.runner.cleanup()

    @web.middleware
    async def handle_errors(self, request, handler):
        """Render every error in the same form.

        An unexpected exception is logged; the caller gets no details of it.
        """
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            limit = self.entry.settings.callers.body_bytes
            detail = f"the body is larger than {limit} bytes"
            return refusal_response(Refusal(Reason.BODY_TOO_LARGE, "parse", "", detail))
        except web.HTTPException as error:
            reason = Reason.NOT_FOUND if error.status == 404 else Reason.BAD_REQUEST
            refusal = Refusal(reason, "parse", "", f"{error.status} {error.reason}")
            body = render.error_body(refusal)
            return json_response(body, error.status, render.error_headers(refusal))
        except ConnectionError:
            raise
        except Exception as error:
            self.entry.bug("http", error)
            refusal = Refusal(Reason.INTERNAL, "http", outcome=Outcome.UNKNOWN)
            return refusal_response(refusal)

    def new_request_id(self):
        """Return a new request id."""
        return uuid.UUID(int=self.entry.context.random.getrandbits(128)).hex

    async def chat(self, request):
        """Serve a chat completion."""
        return await self.generate(request, ChatBody)

    async def completion(self, request):
        """Serve a text completion."""
        return await self.generate(request, CompletionBody)

    async def generate(self, request, kind):
        """Serve a generation, streamed or in one body; `kind` is the class of the request body."""
        now = self.entry.context.now()
        request_id = self.new_request_id()
        data = await request.read()
        parsed = parse_generation(kind, data, request.headers, request_id, now)
        if not parsed:
            return refusal_response(parsed, request_id)
        created = int(self.entry.context.wall())
        prompt_tokens = self.entry.tokeniser.count(parsed.request.prompt)
        if parsed.stream:
            return await self.stream(request, parsed, created, prompt_tokens)
        outcome = await self.entry.serve(parsed.request, DiscardingSink())
        if not isinstance(outcome, Answer):
            return refusal_response(outcome, request_id)
        text = self.entry.tokeniser.text(outcome.tokens)
        body = render.answer_body(parsed, created, text, outcome, prompt_tokens)
        return json_response(body, headers={render.REQUEST_HEADER: request_id})

    async def stream(self, request, parsed, created, prompt_tokens):
        """Serve a streamed generation."""
        sink = EventSink(request, parsed, self.entry.tokeniser, created)
        outcome = await self.entry.serve(parsed.request, sink)
        if isinstance(outcome, Answer):
            # A stored answer was not written to the sink.
            if sink.response is None and outcome.tokens:
                await sink.write(outcome.tokens)
            await sink.finish(outcome, prompt_tokens)
            return sink.response
        if sink.response is None:
            return refusal_response(outcome, parsed.request.request_id)
        await sink.fail(outcome)
        return sink.response

    async def service(self, request):
        """Serve a call of a plain service."""
        now = self.entry.context.now()
        request_id = self.new_request_id()
        data = await request.read()
        segments = request.rel_url.raw_parts[-2:]
        parsed = parse_service(segments, data, request.headers, request_id, now)
        if not parsed:
            return refusal_response(parsed, request_id)
        outcome = await self.entry.serve(parsed.request, DiscardingSink())
        if not isinstance(outcome, Answer):
            return refusal_response(outcome, request_id)
        headers = {render.REQUEST_HEADER: request_id}
        content_type, _, _ = outcome.content_type.partition(";")
        return web.Response(
            body=outcome.body, status=outcome.status, headers=headers, content_type=content_type
        )

    async def models(self, request):
        """List the models and adapters that the caller may use."""
        organisation = self.entry.organisation_of(secret_of(request.headers))
        if not organisation:
            return refusal_response(organisation)
        names = self.entry.model_names(organisation)
        body = {"object": "list", "data": [model_body(name) for name in names]}
        return json_response(body)

    async def model(self, request):
        """Describe one model."""
        organisation = self.entry.organisation_of(secret_of(request.headers))
        if not organisation:
            return refusal_response(organisation)
        name = request.match_info["model"]
        if name not in self.entry.model_names(organisation):
            return refusal_response(
                Refusal(Reason.UNKNOWN_MODEL, "parse", "", f"unknown model {name!r}")
            )
        return json_response(model_body(name))

    async def health(self, _request):
        """Answer the liveness check."""
        return json_response({"status": "ok"})

    async def ready(self, _request):
        """Answer the readiness check of the load balancer."""
        state = self.entry.readiness()
        return json_response(attrs.asdict(state), 200 if state.ready else 503)


def model_body(name):
    """Return the object that describes a model."""
    return {"id": name, "object": "model", "created": 0, "owned_by": "persimmonstall"}
