"""Maps failures to gRPC status codes; trailing metadata has the reason, step and peer."""

import grpc

from persimmonstall.failures import Reason

STATUS_CODES = {
    Reason.BAD_REQUEST: grpc.StatusCode.INVALID_ARGUMENT,
    Reason.UNAUTHENTICATED: grpc.StatusCode.UNAUTHENTICATED,
    Reason.FORBIDDEN: grpc.StatusCode.PERMISSION_DENIED,
    Reason.NOT_FOUND: grpc.StatusCode.NOT_FOUND,
    Reason.CONFLICT: grpc.StatusCode.FAILED_PRECONDITION,
    Reason.KEY_CONFLICT: grpc.StatusCode.ALREADY_EXISTS,
    Reason.AMBIGUOUS: grpc.StatusCode.ABORTED,
    Reason.TABLE_DOWN: grpc.StatusCode.UNAVAILABLE,
    Reason.STORE_DOWN: grpc.StatusCode.UNAVAILABLE,
    Reason.PEER_LOST: grpc.StatusCode.UNAVAILABLE,
}
"""Status code of each failure reason; any other reason is INTERNAL."""

METADATA_PREFIX = "persimmonstall-"


def metadata(failure):
    """Return the trailing metadata of a `Failure`, with ASCII values.

    >>> from persimmonstall.failures import Failure
    >>> metadata(Failure(Reason.CONFLICT, "s", "p"))[0]
    ('persimmonstall-reason', 'version_conflict')
    """
    pairs = [("reason", failure.reason), ("step", failure.step), ("peer", failure.peer)]
    current = getattr(failure, "current", None)
    if current is not None:
        pairs.append(("current-version", str(current)))
    return tuple((METADATA_PREFIX + name, ascii_only(value)) for name, value in pairs)


def ascii_only(text):
    """Return `text` with '?' for each non-ASCII character, which gRPC metadata cannot hold."""
    return str(text).encode("ascii", "replace").decode()


async def abort(context, failure):
    """Abort the call with the status and metadata of a `Failure`."""
    status = STATUS_CODES.get(failure.reason, grpc.StatusCode.INTERNAL)
    await context.abort(status, failure.detail or str(failure.reason), metadata(failure))
