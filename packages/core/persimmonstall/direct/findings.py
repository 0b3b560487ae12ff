"""What an entry found out about endpoints, and sends to the other entries beside its beacons."""

import math

import attrs

from ..failures import Failure, Reason
from . import datagrams
from .datagrams import Kind
from .request_limits import LimitReport

STEP = "peers"


@attrs.frozen
class Findings:
    """Findings of the entry at `address`: limits that endpoints named.

    Merging the same findings again changes nothing, so datagrams may be lost or repeated.
    """

    address: str
    limits: tuple[LimitReport, ...] = ()

    def __bool__(self):
        return bool(self.limits)


def encode(findings):
    """Return the datagram that encodes findings.

    >>> sent = Findings("10.0.0.1:7340", (LimitReport("e", 1, 2.5, 0.1),))
    >>> decode(datagrams.decode(encode(sent)).fields) == sent
    True
    """
    limits = [attrs.astuple(report) for report in findings.limits]
    return datagrams.encode(Kind.FINDINGS, (findings.address, limits))


def decode(fields):
    """Return the findings in the fields of a datagram, or a `Failure` if they are malformed.

    Fields that a later version adds are ignored.

    >>> decode(("10.0.0.1:7340", [("e", 1, float("nan"), 0.1)])).detail
    "ValueError('limit of nan requests per second')"
    """
    try:
        address, limits = fields[:2]
        return Findings(address, tuple(map(read_limit, limits)))
    except (TypeError, ValueError) as error:
        return Failure(Reason.BAD_REQUEST, STEP, detail=repr(error))


def read_limit(row):
    """Return the limit report in a row; raise TypeError or ValueError if it is malformed."""
    name, born, rate, age = row
    if rate is not None and not 0.0 <= rate < math.inf:
        raise ValueError(f"limit of {rate} requests per second")
    return LimitReport(name, born, rate, max(0.0, float(age)))
