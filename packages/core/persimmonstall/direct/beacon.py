"""Datagrams in which entries broadcast their state to each other, many times a second."""

import math
import types
import typing

import attrs
import msgspec

from .addresses import is_address
from .decoding import decoder
from .loads import EndpointDemand, InFlightAttempt

STEP = "peers"

MAX_DEMANDS = 160
"""Maximum number of demands in one datagram, which is to be sent and to arrive in few packets."""


BASE_BYTES = 120
NAME_BYTES = 24
DEMAND_BYTES = 56
"""Typical bytes of a beacon without attempts, of an attempt's name, and of a demand."""


@attrs.frozen
class Beacon:
    """State of the entry at `address`; `run` identifies the lifetime of its process.

    `configuration` and `endpoints` are the versions that the entry has, 0 for none.
    `directory_age` is the time in seconds since the directory last answered this entry or a peer.
    `retry_usage` maps a service to (calls, retries); `crashes` holds (content, lifetimes),
    `failure_scores` (endpoint, score) and `slowdowns` (endpoint, slowdown) pairs.

    `whole` says that the beacon carries all `attempts`.  Otherwise it carries those that changed
    lately, or a part, and `ended` names the ones that ended; most such beacons have no `peers`,
    `failure_scores` and `slowdowns`, and only new `crashes`.  `link` is the bandwidth of the
    entry's link in bytes per second, `endpoints_digest` the digest of its list of endpoints.

    The fields are sent as an array, so their order is part of the wire format.
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
    crashes: tuple = ()
    peers: tuple[str, ...] = ()
    failure_scores: tuple[tuple[str, float], ...] = ()
    slowdowns: tuple[tuple[str, float], ...] = ()
    whole: bool = True
    ended: tuple[str, ...] = ()
    link: float = math.inf
    endpoints_digest: int = 0


TIME_UNITS_PER_SECOND = 10_000
WEIGHT_UNITS = 10


def demand_to_row(demand):
    """Return a demand as integers, which are short on the wire; times are in units of 0.1 ms."""
    return (
        demand.endpoint,
        round(demand.prefill * TIME_UNITS_PER_SECOND),
        demand.context,
        demand.memory,
        demand.generates,
        round(demand.max_gap * TIME_UNITS_PER_SECOND),
        round(demand.max_first_event * TIME_UNITS_PER_SECOND),
        round(demand.weight * WEIGHT_UNITS),
    )


class DemandRow(typing.NamedTuple):
    """An `EndpointDemand` as it is sent."""

    endpoint: str
    prefill: int
    context: int | float
    memory: int | float
    generates: bool
    max_gap: int
    max_first_event: int
    weight: int


class AttemptRow(typing.NamedTuple):
    """An `InFlightAttempt` as it is sent."""

    name: str
    started: bool
    demands: tuple[DemandRow, ...]


class BeaconRow(typing.NamedTuple):
    """A `Beacon` as it is sent; an entry of an earlier version ends before `whole`."""

    address: str
    run: int
    sequence: int
    leaving: bool
    configuration: int
    endpoints: int
    directory_age: float
    attempts: tuple[AttemptRow, ...]
    retry_usage: dict[str, tuple[float, float]]
    crashes: tuple[tuple[str, tuple[tuple[str, int], ...]], ...]
    peers: tuple[str, ...]
    failure_scores: tuple[tuple[str, float], ...]
    slowdowns: tuple[tuple[str, float], ...]
    whole: bool = True
    ended: tuple[str, ...] = ()
    link: float = math.inf
    endpoints_digest: int = 0


DECODER = msgspec.msgpack.Decoder(BeaconRow)
ATTEMPTS_PLACE = BeaconRow._fields.index("attempts")


def demand_from_row(row):
    """Return the demand that a row encodes."""
    endpoint, prefill, context, memory, generates, max_gap, max_first_event, weight = row
    return EndpointDemand(
        endpoint,
        prefill / TIME_UNITS_PER_SECOND,
        context,
        memory,
        generates,
        max_gap / TIME_UNITS_PER_SECOND,
        max_first_event / TIME_UNITS_PER_SECOND,
        weight / WEIGHT_UNITS,
    )


def attempt_to_row(attempt):
    """Return an attempt as a tuple of plain values."""
    return attempt.name, attempt.started, [demand_to_row(demand) for demand in attempt.demands]


def encode(beacon):
    """Return the datagram that encodes a beacon.

    >>> sent = Beacon(
    ...     "10.0.0.1:1",
    ...     1,
    ...     2,
    ...     attempts=(InFlightAttempt("f", (EndpointDemand("e", 0.1),)),),
    ...     retry_usage={"s": (3, 1)},
    ... )
    >>> decode(encode(sent)) == sent
    True
    """
    rows = [attempt_to_row(attempt) for attempt in beacon.attempts]
    fields = attrs.astuple(attrs.evolve(beacon, attempts=()), recurse=False)
    return msgspec.msgpack.encode([*fields[:7], rows, *fields[8:]])


def trim(beacon, max_bytes):
    """Return a beacon without the oldest of its attempts if it has more than fit into `max_bytes`.

    >>> attempts = tuple(InFlightAttempt(name, (EndpointDemand("e"),)) for name in "fgh")
    >>> trimmed = trim(Beacon("a:1", 1, 2, attempts=attempts, whole=False), 300)
    >>> [attempt.name for attempt in trimmed.attempts]
    ['g', 'h']
    """
    free = max_bytes - BASE_BYTES - NAME_BYTES * len(beacon.ended)
    kept = []
    for attempt in reversed(beacon.attempts):
        size = NAME_BYTES + DEMAND_BYTES * len(attempt.demands)
        if size <= free:
            free -= size
            kept.append(attempt)
    return attrs.evolve(beacon, attempts=tuple(reversed(kept)))


def split(beacon, ended=()):
    """Return the beacons, each with few demands, that together carry what `beacon` carries.

    If they are several, none of them is whole: a whole one would end the attempts that it lacks.
    The first one then also names the attempts `ended`.

    >>> demands = tuple(EndpointDemand(f"e{number}") for number in range(MAX_DEMANDS))
    >>> attempts = (InFlightAttempt("f", demands), InFlightAttempt("g", demands[:2]))
    >>> first, second = split(Beacon("a:1", 1, 2, attempts=attempts), ("h",))
    >>> first.whole, first.ended, first.attempts == attempts[:1], second.attempts == attempts[1:]
    (False, ('h',), True, True)
    """
    groups = group_attempts(beacon.attempts)
    if len(groups) <= 1:
        return [beacon]
    known = (*beacon.ended, *(name for name in ended if name not in beacon.ended))
    first = attrs.evolve(beacon, attempts=groups[0], whole=False, ended=known)
    later = attrs.evolve(
        first, ended=(), crashes=(), peers=(), failure_scores=(), slowdowns=(), retry_usage={}
    )
    return [first, *(attrs.evolve(later, attempts=group) for group in groups[1:])]


def group_attempts(attempts):
    """Return the attempts in groups of at most `MAX_DEMANDS` demands or one attempt."""
    groups, demands = [], 0
    for attempt in attempts:
        demands += len(attempt.demands)
        if not groups or demands > MAX_DEMANDS:
            groups.append(())
            demands = len(attempt.demands)
        groups[-1] += (attempt,)
    return groups


def attempt_from_row(row, known):
    """Return the attempt that a row encodes; those `known` keep the demands that they have."""
    attempt = known.get(row.name)
    if attempt is None:
        return InFlightAttempt(row.name, tuple(map(demand_from_row, row.demands)), row.started)
    if attempt.started == row.started:
        return attempt
    return attrs.evolve(attempt, started=row.started)


@decoder("beacon", STEP)
def decode(data, known=types.MappingProxyType({})):
    """Return the beacon in a datagram, or a `Failure` if it is malformed.

    `known` are the attempts that the receiver knows, by name.

    >>> decode(b"rubbish").reason
    <Reason.BAD_REQUEST: 'bad_request'>
    """
    row = DECODER.decode(data)
    if not is_address(row.address):
        raise ValueError(f"not an address with a port: {row.address!r}")
    if not row.link > 0:
        raise ValueError(f"bandwidth of {row.link} bytes per second")
    if not row.directory_age >= 0:
        raise ValueError(f"directory answered {row.directory_age} s ago")
    attempts = tuple(attempt_from_row(attempt, known) for attempt in row.attempts)
    return Beacon(*row[:ATTEMPTS_PLACE], attempts, *row[ATTEMPTS_PLACE + 1 :])
