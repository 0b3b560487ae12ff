"""Data centres that operators evacuate: nothing more is sent to their endpoints for a while.

The directory decides; entries read it, or learn from each other what it held as of a revision.
An evacuation ends where the directory no longer holds it.  It says nothing about the endpoints:
they stay listed, and what already runs there is finished.
"""

import math

import attrs

from . import datagrams
from .decoding import decoder
from .fleet import RESTORE_SECONDS
from .updates import EvacuationChange, EvacuationUpdate

STEP = "peers"

END_TOLD_SECONDS = 60.0
"""Time for which others are told that the last evacuation has ended."""

MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 5.0
"""Bounds of the time after which an evacuation may have ended."""


@attrs.define
class Evacuations:
    """Evacuated data centres as of a `revision` of the directory, which never decreases.

    `names` are those that the directory held then.  After it came back from an old copy it may
    lack some until operators have written again; `held` maps those to the time until which they
    still count.  `since` maps data centres to the time from which they have counted, `changed_at`
    is when that last changed.
    """

    revision: int = -1
    names: frozenset = frozenset()
    held: dict = attrs.field(factory=dict)
    since: dict = attrs.field(factory=dict)
    restored_until: float = 0.0
    changed_at: float = -math.inf

    def covers(self, endpoint):
        """Return whether an endpoint's data centre is evacuated."""
        return endpoint.data_centre in self.since

    def merge(self, update, now):
        """Merge an `EvacuationUpdate`; return whether other data centres are evacuated.

        An update up to a revision that is known already changes nothing.
        """
        if update.revision <= self.revision:
            return False
        self.revision = update.revision
        names = set() if update.whole else set(self.names)
        for change in update.changes:
            if change.evacuated:
                names.add(change.data_centre)
            else:
                names.discard(change.data_centre)
                self.held.pop(change.data_centre, None)
        if update.restored:
            self.hold(self.names - names, now)
        self.names = frozenset(names)
        return self.review(now)

    def hold(self, names, now):
        """Let `names`, which an old copy of the directory lacks, count for a while."""
        self.restored_until = now + RESTORE_SECONDS
        for name in names:
            self.held.setdefault(name, self.restored_until)

    def review(self, now):
        """Find out which data centres are evacuated; return whether that changed."""
        counting = self.names | set(self.held)
        if counting == set(self.since):
            return False
        self.since = {name: self.since.get(name, now) for name in counting}
        self.changed_at = now
        return True

    def expire(self, now):
        """Drop what the directory has lacked for long enough; return whether that changed any."""
        if not self.held:
            return False
        self.held = {name: until for name, until in self.held.items() if until > now}
        return self.review(now)

    def is_news(self, now):
        """Return whether others need to be told: what counts, or for a while that none does."""
        return bool(self.since) or now - self.changed_at < END_TOLD_SECONDS

    def snapshot(self, now):
        """Return an `EvacuationUpdate` that tells another entry everything, None if unknown."""
        if self.revision < 0:
            return None
        changes = tuple(EvacuationChange(name, True) for name in sorted(self.names))
        restored = now < self.restored_until
        return EvacuationUpdate(changes, self.revision, whole=True, restored=restored)

    def retry_seconds(self, data_centres, now):
        """Return the seconds after which a call to one of these data centres may be served.

        Nobody knows when an evacuation ends.  One that began just now may be a slip that is
        undone at once; the longer it lasts, the longer it is likely to go on.
        """
        ages = [now - self.since[name] for name in data_centres if name in self.since]
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, min(ages, default=0.0)))


def encode_fields(address, update):
    """Return the fields of a datagram with a whole `EvacuationUpdate` of the entry at `address`.

    >>> update = EvacuationUpdate((EvacuationChange("a", True),), 7, whole=True)
    >>> decode_fields(encode_fields("10.0.0.1:7340", update)) == ("10.0.0.1:7340", update)
    True
    """
    names = [change.data_centre for change in update.changes]
    return address, update.revision, names, update.restored


@decoder("evacuations", STEP)
def decode_fields(fields):
    """Return the address and the `EvacuationUpdate` in a datagram's fields, or a `Failure`.

    >>> decode_fields(("10.0.0.1:7340", "7", [], False)).detail
    'invalid evacuations: TypeError: revision or data centres are malformed'
    """
    address, revision, names, restored = fields[:4]
    datagrams.check_address(address)
    if type(revision) is not int or not all(isinstance(name, str) for name in names):
        raise TypeError("revision or data centres are malformed")
    changes = tuple(EvacuationChange(name, True) for name in names)
    return address, EvacuationUpdate(changes, revision, whole=True, restored=bool(restored))
