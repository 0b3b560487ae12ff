"""What entries tell each other in one datagram, many times a second."""

import attrs
import msgspec

from ..failures import Failure, Reason
from .loads import EndpointDemand, InFlightAttempt

STEP = "peers"

MAX_FLIGHTS = 160
"""Flights told in one datagram; what is beyond them is not seen by the others."""


@attrs.frozen
class Beacon:
    """State of the entry at `address`; `run` tells its lifetimes apart.

    `directory_age` is the time in seconds since the directory last answered it or a peer.  `retry_usage`
    has (calls, retries) by service, `crash_counts` (content, lifetimes) and `failure_scores` (endpoint,
    score) and `slowdowns` (endpoint, pace) pairs.
    """

    address: str
    run: int
    sequence: int
    leaving: bool = False
    configuration: int = 0
    endpoints: int = 0
    directory_age: float = 1e9
    attempts: tuple[InFlightAttempt, ...] = ()
    retry_usage: dict = attrs.field(factory=dict)
    crash_counts: tuple = ()
    peers: tuple[str, ...] = ()
    failure_scores: tuple[tuple[str, float], ...] = ()
    slowdowns: tuple[tuple[str, float], ...] = ()


TENTHS_OF_MILLISECONDS = 10_000
TENTHS = 10


def piece_row(demand):
    """Return a piece as whole numbers, short on the wire; times are in tenths of milliseconds."""
    return (
        demand.endpoint,
        round(demand.read * TENTHS_OF_MILLISECONDS),
        demand.context,
        demand.memory,
        demand.writes,
        round(demand.gap * TENTHS_OF_MILLISECONDS),
        round(demand.patience * TENTHS_OF_MILLISECONDS),
        round(demand.worth * TENTHS),
    )


def read_piece(row):
    """Return the piece of a row."""
    endpoint, read, context, memory, writes, gap, patience, worth = row
    return EndpointDemand(
        endpoint,
        read / TENTHS_OF_MILLISECONDS,
        context,
        memory,
        writes,
        gap / TENTHS_OF_MILLISECONDS,
        patience / TENTHS_OF_MILLISECONDS,
        worth / TENTHS,
    )


def flight_row(attempt):
    """Return a flight as plain values."""
    return attempt.name, attempt.started, [piece_row(demand) for demand in attempt.demands]


def encode(beacon):
    """Return the datagram of a beacon.

    >>> sent = Beacon("a:1", 1, 2, attempts=(InFlightAttempt("f", (EndpointDemand("e", 0.1),)),), retry_usage={"s": (3, 1)})
    >>> decode(encode(sent)) == sent
    True
    """
    rows = [flight_row(attempt) for attempt in beacon.attempts[:MAX_FLIGHTS]]
    fields = attrs.astuple(attrs.evolve(beacon, attempts=()), recurse=False)
    return msgspec.msgpack.encode([*fields[:7], rows, *fields[8:]])


def decode(data):
    """Return the beacon of a datagram, or a `Failure`.

    >>> decode(b"rubbish").reason
    <Reason.BAD_REQUEST: 'bad_request'>
    """
    try:
        fields = msgspec.msgpack.decode(data)
        attempts = tuple(
            InFlightAttempt(name, tuple(map(read_piece, demands)), started)
            for name, started, demands in fields[7]
        )
        retry_usage = {
            service: (calls, retries) for service, (calls, retries) in fields[8].items()
        }
        crash_counts = tuple(
            (content, tuple(tuple(lifetime) for lifetime in lifetimes))
            for content, lifetimes in fields[9]
        )
        beacon = Beacon(
            *fields[:7],
            attempts,
            retry_usage,
            crash_counts,
            tuple(fields[10]),
            tuple(map(tuple, fields[11])),
            tuple(map(tuple, fields[12])),
        )
    except (msgspec.MsgspecError, AttributeError, IndexError, TypeError, ValueError) as error:
        return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))
    return beacon
