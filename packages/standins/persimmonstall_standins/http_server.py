"""Serves a stand-in over HTTP with the protocol of the daemon's adapters.

Every stand-in also accepts ``POST /faults``: a JSON object that sets fault switches by name.
Its optional member "action" names an action of the stand-in to call, "arguments" its arguments.
``GET /log?after=N`` returns the stand-in's log from record N on.
"""

import msgspec
from aiohttp import web

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.engine import Job
from persimmonstall.outside.service import ServiceCall
from persimmonstall_daemon.adapters import wire
from persimmonstall_daemon.adapters.service import CALL_ID, NOT_RUN

MAX_BODY_BYTES = 1 << 26
"""Maximum size of a request body, in bytes."""

DEFAULT_TIMEOUT = 10.0
"""Timeout of a call without a `timeout` parameter, in seconds."""


class StandInServer:
    """HTTP server of one stand-in: `calls` by name as in `wire`, `actions` names fault actions."""

    def __init__(self, target, calls, actions=()):
        self.target = target
        self.calls = calls
        self.actions = actions

    def application(self):
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        for name in self.calls:
            application.router.add_post(f"/{name}", self.handler(name))
        application.router.add_post("/faults", self.set_faults)
        application.router.add_get("/log", self.get_log)
        self.add_routes(application.router)
        return application

    def add_routes(self, router):
        """Add the routes that a subclass needs besides `calls`."""

    def handler(self, name):
        """Return the request handler of the call `name`."""
        kind = self.calls[name].arguments
        method = getattr(self.target, name)

        async def handle(request):
            arguments = msgspec.json.decode(await request.read(), type=kind)
            return result_response(await method(*arguments, timeout=timeout_of(request)))

        return handle

    async def set_faults(self, request):
        """Set fault switches and call an action, as the request body says."""
        switches = msgspec.json.decode(await request.read(), type=dict)
        action = switches.pop("action", "")
        arguments = switches.pop("arguments", ())
        unknown = [name for name in switches if not hasattr(self.target.faults, name)]
        if unknown or (action and action not in self.actions):
            return web.json_response({"unknown": unknown or action}, status=400)
        for name, value in switches.items():
            setattr(self.target.faults, name, value)
        if action:
            getattr(self.target, action)(*arguments)
        return web.json_response({"done": True})

    async def get_log(self, request):
        """Return the log from the record number that the query gives as `after`."""
        lines = self.log()[int(request.query.get("after", 0)) :]
        return web.Response(body=msgspec.json.encode(lines), content_type="application/json")

    def log(self):
        """Return the stand-in's log: a list of records, here one with the counts of calls."""
        return [dict(self.target.call_counter.total)]


class EngineServer(StandInServer):
    """HTTP server of an `EngineModel`."""

    def __init__(self, engine):
        actions = ("die", "restart", "freeze", "thaw", "silence_steps")
        super().__init__(engine, wire.ENGINE, actions)

    def add_routes(self, router):
        """Add the calls that carry a prompt and the streams."""
        router.add_post("/submit", self.submit)
        router.add_post("/resume", self.resume)
        router.add_get("/steps", self.steps)
        router.add_get("/cache_events", self.cache_events)

    async def submit(self, request):
        """Start a job."""
        (job,) = wire.decode_with_prompt(await request.read(), tuple[Job])
        return result_response(await self.target.submit(job, timeout_of(request)))

    async def resume(self, request):
        """Import a parked job."""
        ticket, job = wire.decode_with_prompt(await request.read(), tuple[str, Job])
        return result_response(await self.target.resume(ticket, job, timeout_of(request)))

    async def steps(self, request):
        """Stream the engine's steps."""
        return await stream_lines(request, self.target.steps())

    async def cache_events(self, request):
        """Stream the cache events."""
        return await stream_lines(request, self.target.cache_events())

    def log(self):
        """Return the records of the engine's own log."""
        return self.target.log


class ServiceServer(StandInServer):
    """HTTP server of a `ServiceModel`."""

    def __init__(self, service):
        super().__init__(service, wire.SERVICE, ("die", "restart"))

    def add_routes(self, router):
        """Add the route of the service's methods."""
        router.add_post("/methods/{method}", self.call)

    async def call(self, request):
        """Run one call; a lost endpoint aborts the connection."""
        call = ServiceCall(
            request.headers.get(CALL_ID, ""),
            request.match_info["method"],
            await request.read(),
            request.content_type,
        )
        result = await self.target.call(call, timeout_of(request))
        if not isinstance(result, Failure):
            return web.Response(
                status=result.status, body=result.body, content_type=result.content_type
            )
        if result.reason is Reason.BUSY:
            return web.Response(status=503, headers={NOT_RUN: result.detail})
        request.transport.abort()
        return web.Response(status=500)

    def log(self):
        """Return the calls that were run."""
        return self.target.runs


def timeout_of(request):
    """Return the timeout of a request in seconds."""
    return float(request.query.get("timeout", DEFAULT_TIMEOUT))


def result_response(result):
    """Return the HTTP response with the result of a call; a `Failure` has status 503."""
    status = 503 if isinstance(result, Failure) else 200
    body = wire.encode_answer(result)
    return web.Response(body=body, status=status, content_type="application/json")


async def stream_lines(request, records):
    """Send each record of an async iterator as a JSON line until the iterator or client ends.

    The end of the iterator aborts the connection, as the death of the process would.
    """
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    encoder = msgspec.json.Encoder()
    try:
        async for record in records:
            await response.write(encoder.encode(record) + b"\n")
    except ConnectionResetError:
        return response
    finally:
        await records.aclose()
    request.transport.abort()
    return response


async def listen(application, port, host="127.0.0.1"):
    """Serve `application`; return its runner, whose `cleanup` closes the port."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
