"""HTTP server for the readiness check and the metrics."""

from aiohttp import web

from .http_server import ShortRequestServer

READY = 200
UNREADY = 503


class StatusServer:
    """Serves the readiness address of the settings, and the metrics address if there is one."""

    def __init__(self, entry):
        self.entry = entry
        self.servers = []

    async def start(self):
        """Listen at the configured addresses."""
        direct = self.entry.settings.direct
        await self.listen(direct.ready, self.answer_ready)
        if direct.metrics:
            address, _, _path = direct.metrics.partition("/")
            await self.listen(address, self.answer_metrics)

    async def listen(self, address, handler):
        """Serve every request at `address` with `handler`."""
        host, _, port = address.rpartition(":")
        server = ShortRequestServer(handler, self.entry.memory)
        await server.start(host, int(port))
        self.servers.append(server)

    async def answer_ready(self, _request):
        """Answer whether the load balancer should send new connections."""
        return web.Response(status=READY if self.entry.ready else UNREADY)

    async def answer_metrics(self, _request):
        """Return the metrics in the Prometheus text format."""
        return web.Response(body=self.entry.metrics.text(), content_type="text/plain")

    async def stop(self):
        """Close the listening sockets."""
        for server in self.servers:
            await server.stop()
