"""Endpoints known to an entry, from a list that can be stale, incomplete or unreachable."""

import math

import attrs
import msgspec
import xxhash

from .departures import Departures
from .updates import RowStamp

OUTAGE_GRACE_SECONDS = 2.0
"""Seconds for which endpoints missing from the list are still used once the list is reachable
again after an outage."""


RESTORE_SECONDS = 3.0
"""Time after the directory came back from an old copy in which it is written again."""

MAX_REMOVED = 1000
"""Maximum number of endpoints that were removed and whose last change is remembered."""


@attrs.define
class Fleet:
    """Endpoints by name, as of a `revision` of the list, which never decreases.

    An endpoint that is removed from the list is dropped at once, except after an outage of the
    list: then live endpoints may be missing from it for a while.  `missing` maps the names of such
    endpoints to the time at which they are dropped.  `cached_digest` is None after a change;
    `generation` counts the changes.

    Until `restored_until`, after the list came back from an old copy, it is written again.
    `departures` are the endpoints that left it; some of those that it lists again are not used.

    `changed_at` maps names, also of endpoints that were removed, to the revision of their last
    change; it holds all changes after the revision `changes_from`.
    """

    revision: int = 0
    endpoints: dict = attrs.field(factory=dict)
    missing: dict = attrs.field(factory=dict)
    grace_until: float = 0.0
    cached_digest: int | None = None
    generation: int = 0
    restored_until: float = 0.0
    departures: Departures = attrs.field(factory=Departures)
    changed_at: dict = attrs.field(factory=dict)
    changes_from: float = math.inf

    @property
    def digest(self):
        """Hash of the endpoints, the same at all entries that know the same ones.

        Those that are held back count, so that an entry learns from its peers that one is not.
        """
        if self.cached_digest is None:
            endpoints = [self.endpoints[name] for name in sorted(self.endpoints)]
            held = sorted(set(self.departures.held) & set(self.endpoints))
            known = (endpoints, held) if held else endpoints
            self.cached_digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(known))
        return self.cached_digest

    def apply(self, update, now):
        """Apply an `EndpointUpdate`."""
        if update.revision < self.revision:
            return
        self.departures.record_first_read(update.first_read)
        if update.whole:
            self.changes_from = min(self.changes_from, update.revision)
            listed = {change.name for change in update.changes if change.endpoint is not None}
            for name in set(self.endpoints) - listed:
                self.changed_at[name] = update.revision
                self.remove(name, now)
        for change in update.changes:
            self.apply_change(change, update, now)
        self.revision = update.revision
        self.forget_old_changes()

    def apply_change(self, change, update, now):
        """Apply one of the changes of an update."""
        stamp = update.stamp_of(change)
        if not update.whole or self.is_news(change, stamp):
            self.changed_at[change.name] = update.revision
        if change.endpoint is not None:
            self.put(change.endpoint, now, stamp)
        elif not update.whole:
            self.remove(change.name, now)

    def is_news(self, change, stamp):
        """Return whether a listed endpoint, or what is known of its row, has changed."""
        if change.endpoint is None:
            return False
        changed = self.endpoints.get(change.name) != change.endpoint
        return changed or self.departures.is_news(change.name, stamp)

    def changed_since(self, revision):
        """Return the names that changed after `revision`, None if that is not known any more."""
        if revision < self.changes_from:
            return None
        return [name for name, changed in self.changed_at.items() if changed > revision]

    def listed(self, name):
        """Return an endpoint that is in the list, or None."""
        return None if name in self.missing else self.endpoints.get(name)

    def forget_old_changes(self):
        """Drop the oldest removals of endpoints while there are too many."""
        excess = len(self.changed_at) - len(self.endpoints) - MAX_REMOVED
        if excess <= 0:
            return
        removed = [name for name in self.changed_at if name not in self.endpoints]
        removed.sort(key=self.changed_at.get)
        for name in removed[:excess]:
            self.changes_from = max(self.changes_from, self.changed_at.pop(name))

    def put(self, endpoint, now=0.0, stamp=RowStamp()):
        """Add an endpoint or replace its state; one that was leaving stays so for its lifetime."""
        departed = self.departures.record_listed(endpoint, stamp, now)
        earlier = self.endpoints.get(endpoint.name) if departed is None else departed
        if was_leaving(endpoint, earlier):
            endpoint = attrs.evolve(endpoint, leaving=True)
        self.endpoints[endpoint.name] = endpoint
        self.record_change()
        self.missing.pop(endpoint.name, None)

    def remove(self, name, now):
        """Drop an endpoint, or mark it as missing if the list may just be incomplete."""
        if name not in self.endpoints:
            return
        if now < self.grace_until and not self.endpoints[name].leaving:
            self.missing.setdefault(name, self.grace_until)
        else:
            self.drop(name, now)

    def drop(self, name, now=0.0):
        """Drop an endpoint at once."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self.departures.record_left(endpoint, now)
        self.missing.pop(name, None)
        self.record_change()

    def hold(self, lifetime, stamp, now):
        """Hold back a lifetime that another entry saw leave; return whether that is new."""
        new = self.departures.hold(lifetime, stamp, now)
        if new:
            self.record_change()
        return new

    def record_change(self):
        """Record that the endpoints that are known, or usable, have changed."""
        self.cached_digest = None
        self.generation += 1

    def start_grace(self, now):
        """Start the grace period: the list is reachable again after an outage."""
        self.grace_until = now + OUTAGE_GRACE_SECONDS

    def start_restore(self, now):
        """Start the time in which the list, come back from an old copy, is written again."""
        self.start_grace(now)
        self.changes_from = math.inf
        self.restored_until = now + RESTORE_SECONDS

    def is_restoring(self, now):
        """Return whether the list, come back from an old copy, may still be outdated."""
        return now < self.restored_until

    def expire(self, now):
        """Drop endpoints that are still missing after the grace period; return their names."""
        gone = [name for name, until in self.missing.items() if until <= now]
        for name in gone:
            self.drop(name, now)
        self.departures.expire(now)
        return gone

    def lifetimes(self):
        """Return the lifetimes of all endpoints."""
        return {endpoint.lifetime for endpoint in self.endpoints.values()}

    def usable(self, service):
        """Return the endpoints of a service that accept new calls."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and self.is_usable(endpoint.lifetime)
        ]

    def is_usable(self, lifetime):
        """Return whether a lifetime is listed and accepts new calls."""
        name, _ = lifetime
        endpoint = self.endpoints.get(name)
        listed = endpoint is not None and endpoint.lifetime == lifetime
        return listed and not endpoint.leaving and not self.is_held(lifetime)

    def is_held(self, lifetime):
        """Return whether a lifetime is not used, since its row may be that of an old copy."""
        held = self.departures.held.get(lifetime[0])
        return held is not None and held.lifetime == lifetime


def was_leaving(endpoint, earlier):
    """Return whether the endpoint was leaving in an `earlier` state of the same lifetime.

    `earlier` is None if the endpoint was not known before.
    """
    return earlier is not None and earlier.lifetime == endpoint.lifetime and earlier.leaving
