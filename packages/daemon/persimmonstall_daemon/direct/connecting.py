"""Connections to endpoints: opening them in time, and what the opening of one shows."""

import asyncio
import enum
import socket

import aiohttp

from ..observe import logs

LOG = logs.get("endpoint_client")

CONNECT_SECONDS = 0.15
"""Timeout for opening a connection to an endpoint; nothing is sent before it is open."""

PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
"""TCP keep-alive parameters for detecting a connection that has gone silent."""

USER_TIMEOUT_MILLISECONDS = 1500
"""Time for which sent data may stay unacknowledged."""

RECEIVE_BYTES = 16_384
"""Receive buffer of a call to an endpoint; the system doubles it, and no read returns more."""

SUSPENSION_SECONDS = 0.05
"""Lateness of a timeout from which the process counts as having been suspended or held up."""

CATCH_UP_SECONDS = 0.1
"""Time after a suspension for reading data that arrived during it."""

LAST_PASSES = 10
"""Passes of the event loop after a timeout, in which what has arrived by then is still read:
timers fire before sockets are read, and opening a connection takes several passes."""


class PortState(enum.Enum):
    """What connecting to an endpoint shows: it runs, it has ended, or it cannot be reached."""

    OPEN = "accepts connections"
    CLOSED = "refuses connections"
    SILENT = "does not answer"


def keepalive_socket(address_info):
    """Return a TCP socket that detects a silent peer."""
    family, kind, protocol = address_info[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    return sock


def bounded_socket(address_info):
    """Return the same with a small receive buffer: what waits there counts as memory, too."""
    sock = keepalive_socket(address_info)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    return sock


class ConnectLimit:
    """Raises TimeoutError if a request is not connected in time; an asynchronous context manager.

    `was_late` says that the timeout itself came late.  `on_sent()` is called once the head of the
    request was sent.
    """

    def __init__(self, on_sent):
        self.on_sent = on_sent
        self.connected = False
        self.was_late = False
        self.loop = asyncio.get_running_loop()
        self.deadline = self.loop.time() + CONNECT_SECONDS
        self.limit = asyncio.timeout(None)
        self.timer = None

    async def __aenter__(self):
        await self.limit.__aenter__()
        self.timer = self.loop.call_at(self.deadline, self.expire, LAST_PASSES)
        return self

    async def __aexit__(self, *error):
        self.timer.cancel()
        return await self.limit.__aexit__(*error)

    def expire(self, passes):
        """Time out unless the request is connected after some more passes of the event loop."""
        if self.connected:
            return
        now = self.loop.time()
        self.was_late = self.was_late or now - self.deadline >= SUSPENSION_SECONDS
        if passes:
            self.timer = self.loop.call_soon(self.expire, passes - 1)
        else:
            self.limit.reschedule(now)

    def record_connected(self):
        """Record that the connection is open: from now on the request may be sent."""
        self.connected = True

    def record_sent(self):
        """Report that the head of the request was sent."""
        if self.on_sent is not None:
            self.on_sent()


async def report_connected(_session, context, _details):
    """Tell the `ConnectLimit` of a request, if it has one, that it is connected."""
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.record_connected()


async def report_sent(_session, context, _details):
    """Tell the `ConnectLimit` of a request, if it has one, that its head was sent."""
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.record_sent()


def progress_reports():
    """Return the trace configuration that reports the progress of a request."""
    traces = aiohttp.TraceConfig()
    traces.on_connection_create_end.append(report_connected)
    traces.on_request_headers_sent.append(report_sent)
    return traces


async def wait_past_suspension(awaitable, timeout):
    """Return the result of an awaitable; raise TimeoutError after `timeout` seconds.

    Timers fire before the sockets are read, also after a suspension of the process; what has
    arrived by then is still read.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout
    task = asyncio.ensure_future(awaitable)
    try:
        await asyncio.wait((task,), timeout=timeout)
        late = clock() - deadline >= SUSPENSION_SECONDS
        await run_last_passes(task)
        if late and not task.done():
            await asyncio.wait((task,), timeout=CATCH_UP_SECONDS)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        if task.cancel():
            await asyncio.wait((task,))


async def run_last_passes(task):
    """Let the event loop read what has arrived, until a task is done or some passes are over."""
    for _ in range(LAST_PASSES):
        if task.done():
            return
        await asyncio.sleep(0)


async def probe_port(endpoint):
    """Return the `PortState` of an endpoint's address."""
    host, _, port = endpoint.address.rpartition(":")
    try:
        opening = asyncio.open_connection(host, int(port))
        _, writer = await wait_past_suspension(opening, CONNECT_SECONDS)
    except (OSError, TimeoutError, ValueError) as error:
        LOG.info("endpoint_silent", endpoint=endpoint.name, reason=repr(error))
        refused = isinstance(error, ConnectionRefusedError)
        return PortState.CLOSED if refused else PortState.SILENT
    writer.close()
    return PortState.OPEN


async def accepts_connections(endpoint):
    """Return whether an endpoint's address still accepts connections."""
    return await probe_port(endpoint) is PortState.OPEN
