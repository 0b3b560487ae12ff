"""MessagePack encoding of messages between daemons.

A frame is a pair of a message type's number and the message's fields.  An unknown type or a
malformed body decodes to a `Failure`, so that messages of a newer release can be dropped and
counted.
"""

import msgspec

from ..failures import Failure, Reason
from . import control, requests

MESSAGE_TYPES = {
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
    29: control.BudgetRequest,
    30: control.BudgetLease,
    31: control.CatalogueRequest,
    32: control.CatalogueChanges,
}
"""Message type of each number on the wire; a number is never reused for another type."""

TYPE_NUMBERS = {message_type: number for number, message_type in MESSAGE_TYPES.items()}


ENCODER = msgspec.msgpack.Encoder()
FRAME_DECODER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
DECODERS = {
    number: msgspec.msgpack.Decoder(message_type) for number, message_type in MESSAGE_TYPES.items()
}


def encode(message):
    """Return the frame of `message` as bytes.

    >>> decode(encode(control.Ping(7, 2)))
    Ping(sequence=7, config_version=2)
    """
    return ENCODER.encode((TYPE_NUMBERS[type(message)], message))


def decode(data):
    """Return the message of a frame, or a `Failure`.

    >>> decode(b"rubbish").reason
    <Reason.BAD_REQUEST: 'bad_request'>
    """
    try:
        number, body = FRAME_DECODER.decode(data)
        return DECODERS[number].decode(body)
    except (msgspec.MsgspecError, KeyError) as error:
        return Failure(Reason.BAD_REQUEST, "decode", detail=str(error))
