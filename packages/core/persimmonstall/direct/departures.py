"""Endpoints that left the list, and those of them that an old copy of the list names again.

A list that comes back from an old copy may name endpoints that are gone for as long as nobody
removes their rows.  One that had left is used again only once its row was written anew.
"""

import attrs

from .decoding import decoder
from .messages import Endpoint
from .updates import RowStamp

STEP = "peers"

DEPARTED_SECONDS = 60.0
"""Time for which an endpoint that left the list is remembered."""

MAX_HELD = 1000
"""Maximum number of endpoints that are held back since other entries say so."""

MAX_SENT = 40
"""Maximum number of endpoints that are held back in one datagram, the latest ones."""


@attrs.frozen
class Departed:
    """An endpoint that left the list at the time `at`, as of a `revision` of the list."""

    endpoint: Endpoint
    at: float
    revision: int


@attrs.frozen
class Held:
    """A lifetime that is not used until its row is written later than at `stamp`.

    `at` is the time since which it is known.
    """

    lifetime: tuple[str, int]
    stamp: RowStamp
    at: float


@attrs.define
class Departures:
    """The endpoints that left the list, by lifetime, and those that are `held` back, by name.

    `stamps` are those of the listed rows by name.  `copy_revision` is the revision as of which the
    list came back from an old copy, 0 if it never did: rows written later are no part of the copy.
    """

    departed: dict = attrs.field(factory=dict)
    held: dict = attrs.field(factory=dict)
    stamps: dict = attrs.field(factory=dict)
    copy_revision: int = 0

    def record_left(self, endpoint, revision, now):
        """Record that an endpoint left the list."""
        self.departed[endpoint.lifetime] = Departed(endpoint, now, revision)
        self.stamps.pop(endpoint.name, None)
        self.held.pop(endpoint.name, None)

    def record_listed(self, endpoint, stamp, now):
        """Record that an endpoint is listed; return how it left the list before, or None."""
        name, departed = endpoint.name, self.departed.pop(endpoint.lifetime, None)
        if departed is not None and self.is_of_copy(departed, stamp):
            self.held[name] = Held(endpoint.lifetime, stamp, now)
        elif name in self.held and self.is_written_anew(self.held[name], endpoint, stamp):
            del self.held[name]
        self.stamps[name] = stamp
        return None if departed is None else departed.endpoint

    def is_of_copy(self, departed, stamp):
        """Return whether the row of an endpoint that had left may be that of the old copy."""
        return departed.revision < self.copy_revision and stamp.revision <= self.copy_revision

    def is_written_anew(self, held, endpoint, stamp):
        """Return whether a row is news of the endpoint that is held back, or names another one."""
        return held.lifetime != endpoint.lifetime or stamp.is_later_than(held.stamp)

    def start_restore(self, revision, endpoints, now):
        """Expect the rows of an old copy as of `revision`; `endpoints` are those known by name.

        What was held back after an earlier restore is compared with the rows of this copy.
        """
        for name in set(self.held) & set(endpoints):
            endpoint = endpoints[name]
            self.departed[endpoint.lifetime] = Departed(endpoint, now, self.copy_revision)
        self.held.clear()
        self.copy_revision = max(self.copy_revision, revision)

    def hold(self, lifetime, stamp, now):
        """Hold back a lifetime that another entry saw leave; return whether that is new.

        It is not if its row is known to have been written since, or is held back already.
        """
        name, _ = lifetime
        known = self.stamps.get(name)
        if name in self.held or len(self.held) >= MAX_HELD:
            return False
        if known is not None and known.is_later_than(stamp):
            return False
        self.held[name] = Held(lifetime, stamp, now)
        return True

    def expire(self, now):
        """Forget endpoints that left long ago, and held ones that have not been listed since."""
        for lifetime, departed in list(self.departed.items()):
            if now - departed.at > DEPARTED_SECONDS:
                del self.departed[lifetime]
        for name, held in list(self.held.items()):
            if name not in self.stamps and now - held.at > DEPARTED_SECONDS:
                del self.held[name]


def encode_held(held):
    """Return the fields of a datagram that names endpoints which are held back.

    >>> held = Held(("e", 1), RowStamp(7, 2), 0.5)
    >>> decode_held(encode_held([held]))
    ((('e', 1), RowStamp(revision=7, sequence=2)),)
    """
    latest = sorted(held, key=lambda each: each.at)[-MAX_SENT:]
    return [(*each.lifetime, each.stamp.revision, each.stamp.sequence) for each in latest]


@decoder("held endpoints", STEP)
def decode_held(fields):
    """Return the (lifetime, stamp) pairs in the fields of a datagram, or a `Failure`.

    >>> decode_held([("e", 1, "7", 2)]).detail
    'invalid held endpoints: TypeError: lifetime or stamp is malformed'
    """
    return tuple(map(read_held, fields))


def read_held(row):
    """Return the (lifetime, stamp) pair in a row; raise TypeError or ValueError."""
    name, born, revision, sequence = row[:4]
    if type(name) is not str or {type(born), type(revision), type(sequence)} != {int}:
        raise TypeError("lifetime or stamp is malformed")
    return (name, born), RowStamp(revision, sequence)
