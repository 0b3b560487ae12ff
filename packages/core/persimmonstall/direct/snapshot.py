"""Configuration and endpoints as one entry hands them to another."""

import attrs
import msgspec

from ..failures import Failure, Reason
from .updates import ConfigurationUpdate, EndpointUpdate

STEP = "peers"


@attrs.frozen
class Snapshot:
    """What an entry knows; None where it knows nothing yet."""

    configuration: ConfigurationUpdate | None = None
    endpoints: EndpointUpdate | None = None


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot):
    """Return the bytes of a snapshot.

    >>> decode(encode(Snapshot()))
    Snapshot(configuration=None, endpoints=None)
    """
    return ENCODER.encode(snapshot)


def decode(data):
    """Return the snapshot, or a `Failure`."""
    try:
        return DECODER.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(Reason.BAD_REQUEST, STEP, detail=str(error))
