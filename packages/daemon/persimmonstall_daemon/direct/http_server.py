"""HTTP server for short requests without a body, such as status checks."""

import asyncio

from aiohttp import web

from persimmonstall.direct.messages import CallerLimits

from .connection import Connection

LIMITS = CallerLimits(header_timeout=2.0, idle_timeout=60.0)
"""A head may take 2 s; an idle connection is kept for a minute."""

NO_LINGER_SECONDS = 0.0
"""Time for which a request body, which no request here needs, is read and discarded."""

SHUTDOWN_SECONDS = 0.1


class ShortRequestServer:
    """Answers each request with `handler(request)`; connections of endless requests are closed."""

    def __init__(self, handler, memory):
        self.handler = handler
        self.memory = memory
        self.server = None
        self.sockets = None

    async def start(self, host, port):
        """Listen at an address."""
        self.server = web.Server(self.handle, request_factory=self.make_request)
        loop = asyncio.get_running_loop()
        self.sockets = await loop.create_server(self.accept, host, port)

    def accept(self):
        """Return the protocol of a new connection."""
        return Connection(
            self.server,
            LIMITS,
            self.memory,
            essential=True,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=LIMITS.idle_timeout,
            lingering_time=NO_LINGER_SECONDS,
        )

    def make_request(self, message, payload, protocol, writer, task):
        """Return a request whose head is complete."""
        protocol.request_started(payload)
        loop = asyncio.get_running_loop()
        return web.BaseRequest(message, payload, protocol, writer, task, loop)

    async def handle(self, request):
        """Answer one request."""
        try:
            return await self.handler(request)
        finally:
            request.protocol.request_ended()

    async def stop(self):
        """Close the listening socket and all connections."""
        self.sockets.close()
        await self.server.shutdown(SHUTDOWN_SECONDS)
