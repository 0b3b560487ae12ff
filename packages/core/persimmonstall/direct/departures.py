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
    """An endpoint that left the list at the time `at`, in an `era` of the list."""

    endpoint: Endpoint
    at: float
    era: int


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

    `stamps` are those of the listed rows by name.  `first_read` is that as of which the list was
    first read in its newest era: rows written later are no part of the copy from which it came.
    """

    departed: dict = attrs.field(factory=dict)
    held: dict = attrs.field(factory=dict)
    stamps: dict = attrs.field(factory=dict)
    first_read: RowStamp = attrs.field(factory=RowStamp)

    def record_first_read(self, first_read):
        """Record as of when the list was first read in an era, by this entry or another."""
        if first_read.era > self.first_read.era:
            self.first_read = first_read
        elif first_read.era == self.first_read.era:
            self.first_read = min(self.first_read, first_read, key=lambda stamp: stamp.version)

    def record_left(self, endpoint, now):
        """Record that an endpoint left the list."""
        self.departed[endpoint.lifetime] = Departed(endpoint, now, self.first_read.era)
        self.stamps.pop(endpoint.name, None)
        self.held.pop(endpoint.name, None)

    def record_listed(self, endpoint, stamp, now):
        """Record that an endpoint is listed; return how it left the list before, or None."""
        departed = self.departed.pop(endpoint.lifetime, None)
        since = None if departed is None else departed.era
        held = self.held.pop(endpoint.name, None)
        if held is not None and held.lifetime == endpoint.lifetime:
            self.keep_held(held, stamp)
        elif since is not None and stamp.era > since and not self.is_written_since_copy(stamp):
            self.held[endpoint.name] = Held(endpoint.lifetime, stamp, now)
        self.stamps[endpoint.name] = stamp
        return None if departed is None else departed.endpoint

    def keep_held(self, held, stamp):
        """Hold a lifetime back on, unless its row was written anew."""
        name, _ = held.lifetime
        if stamp.era > held.stamp.era and not self.is_written_since_copy(stamp):
            self.held[name] = attrs.evolve(held, stamp=stamp)
        elif stamp.era <= held.stamp.era and not stamp.is_later_than(held.stamp):
            self.held[name] = held

    def is_written_since_copy(self, stamp):
        """Return whether a row was certainly written after the list came back from a copy."""
        return stamp.era == self.first_read.era and stamp.version > self.first_read.version

    def is_news(self, name, stamp):
        """Return whether a stamp shows that a row was written which is held back."""
        held = self.held.get(name)
        return held is not None and stamp != held.stamp

    def hold(self, lifetime, stamp, now):
        """Hold back a lifetime that another entry saw leave; return whether that is new.

        It is not if its row is known to have been written since, or is held back already.
        """
        name, _ = lifetime
        known = self.stamps.get(name)
        if name in self.held or len(self.held) >= MAX_HELD:
            return False
        if known is not None and (known.era > stamp.era or known.is_later_than(stamp)):
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

    >>> held = Held(("e", 1), RowStamp(3, 7, 2), 0.5)
    >>> decode_held(encode_held([held]))
    ((('e', 1), RowStamp(era=3, version=7, sequence=2)),)
    """
    latest = sorted(held, key=lambda each: each.at)[-MAX_SENT:]
    return [(*each.lifetime, *attrs.astuple(each.stamp)) for each in latest]


@decoder("held endpoints", STEP)
def decode_held(fields):
    """Return the (lifetime, stamp) pairs in the fields of a datagram, or a `Failure`.

    >>> decode_held([("e", 1, 3, "7", 2)]).detail
    'invalid held endpoints: TypeError: lifetime or stamp is malformed'
    """
    return tuple(map(read_held, fields))


def read_held(row):
    """Return the (lifetime, stamp) pair in a row; raise TypeError or ValueError."""
    name, born, *stamp = row
    if type(name) is not str or {type(each) for each in (born, *stamp)} != {int}:
        raise TypeError("lifetime or stamp is malformed")
    return (name, born), RowStamp(*stamp)
