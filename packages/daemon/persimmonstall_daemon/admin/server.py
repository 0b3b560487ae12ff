"""The gRPC server of the admin port, which operators call."""

import grpc

from persimmonstall.failures import Failure, Reason

from ..observe import logs
from . import fleet, organisations, records
from .operators import OperatorKeys
from .persimmonstall_admin_pb2_grpc import (
    AdministrationServicer,
    add_AdministrationServicer_to_server,
)
from .status_codes import abort
from .tls import bind
from .watch import watch

LOG = logs.get("admin")
STOP_GRACE_SECONDS = 2.0
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


class AdminServer:
    """Serves the admin calls with the services of an `Administration`."""

    def __init__(self, state):
        self.state = state
        self.operator_keys = OperatorKeys(state.settings)
        self.server = None
        self.port = 0

    async def start(self):
        """Open the port; raise OSError if a certificate cannot be read."""
        self.server = grpc.aio.server(options=OPTIONS)
        add_AdministrationServicer_to_server(self.servicer(), self.server)
        self.port = bind(self.server, self.state.settings)
        await self.server.start()

    async def stop(self):
        """Close the port and end the open Watch streams."""
        if self.server:
            await self.server.stop(STOP_GRACE_SECONDS)

    def servicer(self):
        """Return a servicer with the handlers of all modules as its methods."""
        servicer = AdministrationServicer()
        handlers = records.handlers() | organisations.HANDLERS | fleet.HANDLERS
        for name, handler in handlers.items():
            setattr(servicer, name, self.unary(name, handler))
        servicer.Watch = self.watch
        return servicer

    def unary(self, name, handler):
        """Return a unary method that authenticates, runs `handler` and aborts on a `Failure`."""

        async def call(request, context):
            await self.authenticate(name, context)
            result = await self.run_handler(name, handler, request)
            if isinstance(result, Failure):
                logs.log_failure(LOG, "call_failed", result, call=name)
                await abort(context, result)
            LOG.info("call", call=name)
            return result

        return call

    async def run_handler(self, name, handler, request):
        """Return the handler's result; an unexpected exception is logged and becomes INTERNAL."""
        try:
            return await handler(self.state, request)
        except Exception as error:
            LOG.error("bug", call=name, error=repr(error), exc_info=error)
            instance = self.state.settings.daemon.instance
            return Failure(Reason.INTERNAL, "administration", instance, "see the daemon's log")

    async def watch(self, request, context):
        """Stream catalogue changes to an authenticated operator."""
        await self.authenticate("Watch", context)
        async for event in watch(self.state, request):
            yield event

    async def authenticate(self, name, context):
        """Abort the call unless its metadata has a valid operator key."""
        metadata = dict(context.invocation_metadata() or ())
        allowed = self.operator_keys.check(metadata.get("authorization", ""))
        if not allowed:
            logs.log_failure(LOG, "call_denied", allowed, call=name)
            await abort(context, allowed)
