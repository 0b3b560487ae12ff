"""gRPC client of the operators' port; returns errors as `Failure` values."""

import ipaddress
import os
import pathlib
import queue

import attrs
import grpc

from persimmonstall.failures import Failure, Reason
from persimmonstall_daemon.admin.persimmonstall_admin_pb2_grpc import AdministrationStub
from persimmonstall_daemon.network.grpc_network import SEND_ONCE

from .command import usage_failure

SERVER_VARIABLE = "PERSIMMONSTALL_SERVER"
KEY_VARIABLE = "PERSIMMONSTALL_KEY"
DEFAULT_SERVER = "127.0.0.1:9000"
METADATA_PREFIX = "persimmonstall-"
REASON_BY_STATUS = {
    grpc.StatusCode.UNAVAILABLE: Reason.PEER_LOST,
    grpc.StatusCode.DEADLINE_EXCEEDED: Reason.AMBIGUOUS,
    grpc.StatusCode.CANCELLED: Reason.CANCELLED,
}
"""Reason for a gRPC status without the daemon's own reason in its trailing metadata."""


@attrs.frozen
class ConnectionOptions:
    """Address and credentials of a call; `authority` is the CA certificate, None for plaintext."""

    server: str
    key: str
    authority: bytes | None
    timeout: float


def connection_options(flags):
    """Return the `ConnectionOptions` from flags and environment, or a `Failure`."""
    server = flags.server or os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER)
    try:
        key = read_file(flags.key_file) or os.environ.get(KEY_VARIABLE, "").encode()
        authority = read_file(flags.authority)
    except OSError as error:
        return usage_failure(str(error))
    if not key:
        return usage_failure(f"no operator's key: pass --key_file or set {KEY_VARIABLE}")
    if authority is None and not flags.plaintext and not is_loopback(server):
        return usage_failure(
            f"{server} is not a loopback address: pass --authority or --plaintext"
        )
    return ConnectionOptions(
        server, key.decode("ascii", "replace").strip(), authority, flags.timeout
    )


def read_file(path):
    """Return the content of a file, or None without a path; raises OSError."""
    return pathlib.Path(path).read_bytes() if path else None


def is_loopback(server):
    """Return whether an "IP:port" is on this machine.

    >>> is_loopback("127.0.0.1:9000"), is_loopback("10.1.1.1:9000")
    (True, False)
    """
    host = server.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


class Client:
    """A gRPC channel to the operators' port of one daemon; use it as a context manager."""

    def __init__(self, options):
        self.options = options
        if options.authority is None:
            self.channel = grpc.insecure_channel(options.server, options=(SEND_ONCE,))
        else:
            credentials = grpc.ssl_channel_credentials(options.authority)
            self.channel = grpc.secure_channel(options.server, credentials, options=(SEND_ONCE,))
        self.stub = AdministrationStub(self.channel)
        self.metadata = (("authorization", f"Bearer {options.key}"),)

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.channel.close()

    def connect(self):
        """Connect the channel; return whether it is connected, False after the timeout."""
        states = queue.SimpleQueue()
        self.channel.subscribe(states.put, try_to_connect=True)
        try:
            while True:
                state = states.get(timeout=self.options.timeout)
                if state is grpc.ChannelConnectivity.READY:
                    return True
                if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                    return False
        except queue.Empty:
            return False
        finally:
            self.channel.unsubscribe(states.put)

    def change(self, name, request):
        """Return the response of the unary call `name` that changes something, or a `Failure`.

        The change was certainly not made if the failure's reason is PEER_LOST: the call was not
        sent, since the daemon could not be reached.
        """
        if not self.connect():
            return Failure(Reason.PEER_LOST, name, self.options.server, "cannot connect")
        answer = self.call(name, request)
        if isinstance(answer, Failure) and answer.reason is Reason.PEER_LOST:
            return attrs.evolve(answer, reason=Reason.AMBIGUOUS)
        return answer

    def call(self, name, request):
        """Return the response of the unary call `name`, or a `Failure`."""
        try:
            method = getattr(self.stub, name)
            return method(request, metadata=self.metadata, timeout=self.options.timeout)
        except grpc.RpcError as error:
            return failure_from_error(error, name, self.options.server)

    def stream(self, name, request):
        """Yield the responses of a streaming call; on an error, the last one is a `Failure`."""
        try:
            yield from getattr(self.stub, name)(request, metadata=self.metadata)
        except grpc.RpcError as error:
            yield failure_from_error(error, name, self.options.server)


def failure_from_error(error, step, server):
    """Return the `Failure` for a gRPC error: the daemon's own reason, or one by status."""
    trailing = dict(error.trailing_metadata() or ())
    reason = trailing.get(METADATA_PREFIX + "reason")
    if reason is None:
        fallback = REASON_BY_STATUS.get(error.code(), Reason.INTERNAL)
        return Failure(fallback, step, server, error.details() or str(error.code()))
    peer = trailing.get(METADATA_PREFIX + "peer") or server
    return Failure(
        Reason(reason), trailing.get(METADATA_PREFIX + "step", step), peer, error.details()
    )


def iterate_entries(client, name, request):
    """Yield the entries of all pages of a list call; on an error, the last one is a `Failure`."""
    while True:
        page = client.call(name, request)
        if isinstance(page, Failure):
            yield page
            return
        yield from page.entries
        if not page.next_page_token:
            return
        request.page_token = page.next_page_token
