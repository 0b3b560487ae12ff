"""Dials and accepts links over gRPC, with or without mutual TLS."""

import asyncio
import pathlib

import grpc

from persimmonstall.failures import Failure, Reason
from persimmonstall.outside.link import Network

from .grpc_link import GrpcLink

SERVICE = "persimmonstall.Peer"
METHOD = f"/{SERVICE}/Link"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
STOP_GRACE_SECONDS = 1.0

SEND_ONCE = ("grpc.enable_retries", 0)
"""Channel option without which gRPC sends a call again if its server gave up the connection."""

OPTIONS = (
    SEND_ONCE,
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)


class Acceptor(grpc.GenericRpcHandler):
    """Passes each incoming stream to `accept` as a link."""

    def __init__(self, accept):
        self.accept = accept

    def service(self, details):
        """Return the handler of the link method, or None for any other method."""
        if details.method != METHOD:
            return None
        return grpc.stream_stream_rpc_method_handler(self.handle)

    async def handle(self, _requests, context):
        """Serve one link until either side closes it."""
        link = GrpcLink(context, context.peer())
        try:
            await self.accept(link)
        finally:
            await link.close()


class Listener:
    """An open port for links."""

    def __init__(self, server, port):
        self.server = server
        self.port = port

    async def close(self):
        """Stop accepting and end the open links."""
        await self.server.stop(STOP_GRACE_SECONDS)


class GrpcNetwork(Network):
    """Opens links over gRPC; `security` is the settings section with the certificates."""

    def __init__(self, security):
        self.security = security

    def read_pem(self, path):
        """Return the content of a PEM file, or None for an empty path."""
        return pathlib.Path(path).read_bytes() if path else None

    @property
    def secure(self):
        """Whether links are encrypted and both sides authenticated."""
        return bool(self.security.peer_certificate)

    def channel(self, address):
        """Return a new gRPC channel to `address`."""
        if not self.secure:
            return grpc.aio.insecure_channel(address, options=OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self.read_pem(self.security.peer_authority),
            self.read_pem(self.security.peer_private_key),
            self.read_pem(self.security.peer_certificate),
        )
        return grpc.aio.secure_channel(address, credentials, options=OPTIONS)

    async def dial(self, address, timeout):
        """Open a link to `address` within `timeout` seconds; return it or a `Failure`."""
        channel = self.channel(address)
        try:
            await asyncio.wait_for(channel.channel_ready(), timeout)
        except (TimeoutError, grpc.RpcError):
            await channel.close()
            return Failure(Reason.PEER_LOST, "dial", address, "cannot connect")
        call = channel.stream_stream(METHOD)()
        return GrpcLink(call, address, channel.close)

    async def listen(self, address, accept):
        """Accept links at `address`; return the `Listener`."""
        server = grpc.aio.server(options=OPTIONS)
        server.add_generic_rpc_handlers((Acceptor(accept),))
        if self.secure:
            pairs = [
                (
                    self.read_pem(self.security.peer_private_key),
                    self.read_pem(self.security.peer_certificate),
                )
            ]
            authority = self.read_pem(self.security.peer_authority)
            credentials = grpc.ssl_server_credentials(pairs, authority, authority is not None)
            port = server.add_secure_port(address, credentials)
        else:
            port = server.add_insecure_port(address)
        await server.start()
        return Listener(server, port)
