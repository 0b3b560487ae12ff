"""Configuration, endpoints and evacuations as one entry sends them to another."""

import attrs
import msgspec

from .decoding import decoder
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


@decoder("snapshot", STEP)
def decode(data):
    """Return the snapshot in `data`, or a `Failure` if it is malformed."""
    return DECODER.decode(data)
