"""What an entry found out about endpoints, and sends to the other entries beside its beacons."""

import math

import attrs

from . import datagrams
from .crashing_parts import PartCrash
from .datagrams import Kind
from .decoding import decoder
from .request_limits import LimitReport

STEP = "peers"
UNUSED_NUMBER = 0
"""Stands where earlier versions expect a number."""


@attrs.frozen
class Findings:
    """Findings of the entry at `address`.

    `limits` are those that endpoints named, `crashes` what crashed calls have in common, and
    `sound_parts` the suspected parts of prompts that were answered.  `excused` are the crashes of
    contents, as (content, lifetimes) pairs, that complete answers excused; `leaving` are the
    lifetimes of endpoints that said they leave.  Merging the same findings again changes nothing,
    so datagrams may be lost or repeated.
    """

    address: str
    limits: tuple[LimitReport, ...] = ()
    crashes: tuple[PartCrash, ...] = ()
    sound_parts: tuple[str, ...] = ()
    excused: tuple = ()
    leaving: tuple = ()

    def __bool__(self):
        return any((self.limits, self.crashes, self.sound_parts, self.excused, self.leaving))


def encode(findings):
    """Return the datagram that encodes findings.

    >>> limit, crash = LimitReport("e", 1, 2.5, 0.1), PartCrash("5a", "c1", "e", 1, 0.2)
    >>> excused = ("c2", (("e", 1),))
    >>> sent = Findings("a:1", (limit,), (crash,), ("5b",), (excused,), (("f", 2),))
    >>> decode(datagrams.decode(encode(sent)).fields) == sent
    True
    """
    limits = [attrs.astuple(report) for report in findings.limits]
    crashes = [attrs.astuple(crash) for crash in findings.crashes]
    fields = (
        findings.address,
        limits,
        crashes,
        findings.sound_parts,
        UNUSED_NUMBER,
        findings.excused,
        findings.leaving,
    )
    return datagrams.encode(Kind.FINDINGS, fields)


@decoder("findings", STEP)
def decode(fields):
    """Return the findings in the fields of a datagram, or a `Failure` if they are malformed.

    Fields that a later version adds are ignored; an earlier one sends the first five.

    >>> decode(("10.0.0.1:7340", [("e", 1, float("nan"), 0.1)], [], [], 0)).detail
    'invalid findings: ValueError: limit of nan requests per second'
    """
    address, limits, crashes, sound_parts, _unused = fields[:5]
    return Findings(
        address,
        tuple(map(read_limit, limits)),
        tuple(map(read_crash, crashes)),
        tuple(sound_parts),
        tuple(map(read_excused, fields[5] if len(fields) > 5 else ())),
        read_lifetimes(fields[6] if len(fields) > 6 else ()),
    )


def read_limit(row):
    """Return the limit report in a row; raise TypeError or ValueError if it is malformed."""
    name, born, rate, age = row
    if rate is not None and not 0.0 <= rate < math.inf:
        raise ValueError(f"limit of {rate} requests per second")
    return LimitReport(name, born, rate, max(0.0, float(age)))


def read_crash(row):
    """Return the crash in a row; raise TypeError or ValueError if it is malformed."""
    part, content, name, born, age = row
    return PartCrash(part, content, name, born, max(0.0, float(age)))


def read_excused(row):
    """Return the excused (content, lifetimes) pair in a row; raise TypeError or ValueError."""
    content, lifetimes = row
    return content, read_lifetimes(lifetimes)


def read_lifetimes(rows):
    """Return the lifetimes in rows; raise TypeError or ValueError if one is malformed."""
    return tuple((name, born) for name, born in rows)
