"""Datagrams in which entries broadcast their state to each other, many times a second."""

import attrs
import msgspec

from ..failures import Failure, Reason
from .loads import Flight, Piece

STEP = "peers"

MOST_FLIGHTS = 160
"""Maximum number of attempts in one datagram; other entries do not see the rest."""


@attrs.frozen
class Beacon:
    """State of the entry at `address`; `run` identifies the lifetime of its process.

    `reached_age` is the time in seconds since the directory last answered this entry or a peer.
    `used` maps a service to (calls, retries); `crashers` holds (content, lifetimes), `troubles`
    (endpoint, score) and `paces` (endpoint, pace) pairs.  The fields are sent as an array, so
    their order is part of the wire format.
    """

    address: str
    run: int
    sequence: int
    leaving: bool = False
    configuration: int = 0
    endpoints: int = 0
    reached_age: float = 1e9
    flights: tuple[Flight, ...] = ()
    used: dict = attrs.field(factory=dict)
    crashers: tuple = ()
    peers: tuple[str, ...] = ()
    troubles: tuple[tuple[str, float], ...] = ()
    paces: tuple[tuple[str, float], ...] = ()


TENTHS_OF_MILLISECONDS = 10_000
TENTHS = 10


def piece_row(piece):
    """Return a piece as integers, which are short on the wire; times are in units of 0.1 ms."""
    return (
        piece.endpoint,
        round(piece.read * TENTHS_OF_MILLISECONDS),
        piece.context,
        piece.memory,
        piece.writes,
        round(piece.gap * TENTHS_OF_MILLISECONDS),
        round(piece.patience * TENTHS_OF_MILLISECONDS),
        round(piece.worth * TENTHS),
    )


def read_piece(row):
    """Return the piece that a row encodes."""
    endpoint, read, context, memory, writes, gap, patience, worth = row
    return Piece(
        endpoint,
        read / TENTHS_OF_MILLISECONDS,
        context,
        memory,
        writes,
        gap / TENTHS_OF_MILLISECONDS,
        patience / TENTHS_OF_MILLISECONDS,
        worth / TENTHS,
    )


def flight_row(flight):
    """Return an attempt as a tuple of plain values."""
    return flight.name, flight.started, [piece_row(piece) for piece in flight.pieces]


def encode(beacon):
    """Return the datagram that encodes a beacon.

    >>> sent = Beacon("a:1", 1, 2, flights=(Flight("f", (Piece("e", 0.1),)),), used={"s": (3, 1)})
    >>> decode(encode(sent)) == sent
    True
    """
    rows = [flight_row(flight) for flight in beacon.flights[:MOST_FLIGHTS]]
    fields = attrs.astuple(attrs.evolve(beacon, flights=()), recurse=False)
    return msgspec.msgpack.encode([*fields[:7], rows, *fields[8:]])


def decode(data):
    """Return the beacon in a datagram, or a `Failure` if it is malformed.

    >>> decode(b"rubbish").reason
    <Reason.BAD_REQUEST: 'bad_request'>
    """
    try:
        fields = msgspec.msgpack.decode(data)
        flights = tuple(
            Flight(name, tuple(map(read_piece, pieces)), started)
            for name, started, pieces in fields[7]
        )
        used = {service: (calls, retries) for service, (calls, retries) in fields[8].items()}
        crashers = tuple(
            (content, tuple(tuple(lifetime) for lifetime in lifetimes))
            for content, lifetimes in fields[9]
        )
        beacon = Beacon(
            *fields[:7],
            flights,
            used,
            crashers,
            tuple(fields[10]),
            tuple(map(tuple, fields[11])),
            tuple(map(tuple, fields[12])),
        )
    except (msgspec.MsgspecError, AttributeError, IndexError, TypeError, ValueError) as error:
        return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))
    return beacon
