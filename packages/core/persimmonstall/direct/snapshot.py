"""Configuration, endpoints and evacuations as one entry sends them to another."""

import attrs
import msgspec

from ..failures import Failure, Reason
from .updates import ConfigurationUpdate, EndpointUpdate, EvacuationUpdate

STEP = "peers"


@attrs.frozen
class Snapshot:
    """Configuration, endpoints and evacuations of an entry, each None if not known yet."""

    configuration: ConfigurationUpdate | None = None
    endpoints: EndpointUpdate | None = None
    evacuations: EvacuationUpdate | None = None


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot):
    """Return the bytes that encode a snapshot.

    >>> decode(encode(Snapshot()))
    Snapshot(configuration=None, endpoints=None, evacuations=None)
    """
    return ENCODER.encode(snapshot)


def decode(data):
    """Return the snapshot in `data`, or a `Failure` if it is malformed."""
    try:
        return DECODER.decode(data)
    except msgspec.MsgspecError as error:
        return Failure(Reason.BAD_REQUEST, STEP, detail=str(error))
