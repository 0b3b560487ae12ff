"""Encoding of messages between daemons: MessagePack, with JSON as a readable second codec.

A frame is the pair of a message kind and its fields; an unknown kind or a malformed body
decodes to a `Failure`, so that a newer peer's message is dropped and counted.
"""

import msgspec

from ..failures import Failure, Reason
from . import control, requests

KINDS = {
    1: requests.Submit,
    2: requests.Cancel,
    3: requests.Credit,
    4: requests.Attach,
    5: requests.Chunks,
    6: requests.End,
    7: requests.Refused,
    8: requests.Started,
    20: control.Hello,
    21: control.Ping,
    22: control.Pong,
    23: control.Loads,
    24: control.Leaving,
    25: control.Reserve,
    26: control.Reserved,
    27: control.Release,
    28: control.Verdicts,
    29: control.BudgetAsk,
    30: control.BudgetLease,
    31: control.CatalogueAsk,
    32: control.CatalogueChanges,
}
"""Wire number of each message type; a number is never used again for another type."""

NUMBERS = {kind: number for number, kind in KINDS.items()}


class Codec:
    """Encodes and decodes frames with one msgspec protocol module."""

    def __init__(self, protocol):
        self.protocol = protocol
        self.encoder = protocol.Encoder()
        self.frame = protocol.Decoder(tuple[int, msgspec.Raw])
        self.decoders = {number: protocol.Decoder(kind) for number, kind in KINDS.items()}

    def encode(self, message):
        """Return the frame of `message` as bytes."""
        return self.encoder.encode((NUMBERS[type(message)], message))

    def decode(self, data):
        """Return the message in `data`, or a `Failure`."""
        try:
            number, body = self.frame.decode(data)
            return self.decoders[number].decode(body)
        except (msgspec.MsgspecError, KeyError) as error:
            return Failure(Reason.BAD_REQUEST, "decode", detail=str(error))


MSGPACK = Codec(msgspec.msgpack)
JSON = Codec(msgspec.json)


def encode(message):
    """Return the MessagePack frame of `message`.

    >>> decode(encode(control.Ping(7, 2)))
    Ping(sequence=7, config_version=2)
    """
    return MSGPACK.encode(message)


def decode(data):
    """Return the message of a MessagePack frame, or a `Failure`.

    >>> decode(b"rubbish").reason
    <Reason.BAD_REQUEST: 'bad_request'>
    """
    return MSGPACK.decode(data)
