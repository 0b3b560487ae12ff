"""Endpoints known to an entry, from a list that can be stale, incomplete or unreachable."""

import math

import attrs
import msgspec
import xxhash

from .messages import Endpoint

OUTAGE_GRACE_SECONDS = 2.0
"""Seconds for which endpoints missing from the list are still used once the list is reachable
again after an outage."""


RESTORE_SECONDS = 3.0
"""Time after the list came back from an old copy in which endpoints have written again; until then
those that had left the list before are not used."""

DEPARTED_SECONDS = 60.0
"""Time for which an endpoint that left the list is remembered."""


MAX_REMOVED = 1000
"""Maximum number of endpoints that were removed and whose last change is remembered."""


@attrs.frozen
class Departed:
    """An endpoint that left the list at the time `at`."""

    endpoint: Endpoint
    at: float


@attrs.define
class Fleet:
    """Endpoints by name, as of a `revision` of the list, which never decreases.

    An endpoint that is removed from the list is dropped at once, except after an outage of the
    list: then live endpoints may be missing from it for a while.  `missing` maps the names of such
    endpoints to the time at which they are dropped.  `cached_digest` is None after a change;
    `generation` counts the changes.

    Until `restored_until`, after the list came back from an old copy, it may name endpoints that
    are gone.  `departed` maps the lifetimes of those that left it to `Departed`; if they are
    listed again meanwhile, `held` maps their names to the time until which they are not used.

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
    departed: dict = attrs.field(factory=dict)
    held: dict = attrs.field(factory=dict)
    changed_at: dict = attrs.field(factory=dict)
    changes_from: float = math.inf

    @property
    def digest(self):
        """Hash of the endpoints, the same at all entries that know the same ones."""
        if self.cached_digest is None:
            endpoints = [self.endpoints[name] for name in sorted(self.endpoints)]
            self.cached_digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(endpoints))
        return self.cached_digest

    def replace(self, endpoints, revision, now):
        """Apply a complete read of the list: endpoints by name."""
        if revision < self.revision:
            return
        self.changes_from = min(self.changes_from, revision)
        for name in set(self.endpoints) - set(endpoints):
            self.changed_at[name] = revision
            self.remove(name, now)
        for endpoint in endpoints.values():
            if self.endpoints.get(endpoint.name) != endpoint:
                self.changed_at[endpoint.name] = revision
            self.put(endpoint, now)
        self.revision = revision
        self.forget_old_changes()

    def change(self, changes, revision, now):
        """Apply changes up to `revision`: pairs of a name and its endpoint, None if removed."""
        if revision < self.revision:
            return
        for name, endpoint in changes:
            self.changed_at[name] = revision
            if endpoint is None:
                self.remove(name, now)
            else:
                self.put(endpoint, now)
        self.revision = revision
        self.forget_old_changes()

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

    def put(self, endpoint, now=0.0):
        """Add an endpoint or replace its state; one that was leaving stays so for its lifetime."""
        known = self.endpoints.get(endpoint.name)
        departed = self.departed.pop(endpoint.lifetime, None)
        if departed is not None and now < self.restored_until:
            self.held[endpoint.name] = self.restored_until
        elif known is not None and known.lifetime != endpoint.lifetime:
            self.held.pop(endpoint.name, None)
        earlier = known if departed is None else departed.endpoint
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
            self.departed[endpoint.lifetime] = Departed(endpoint, now)
        self.missing.pop(name, None)
        self.held.pop(name, None)
        self.record_change()

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
        for name in [name for name, until in self.held.items() if until <= now]:
            del self.held[name]
            self.record_change()
        for lifetime, departed in list(self.departed.items()):
            if now - departed.at > DEPARTED_SECONDS:
                del self.departed[lifetime]
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
        return listed and not endpoint.leaving and name not in self.held


def was_leaving(endpoint, earlier):
    """Return whether the endpoint was leaving in an `earlier` state of the same lifetime.

    `earlier` is None if the endpoint was not known before.
    """
    return earlier is not None and earlier.lifetime == endpoint.lifetime and earlier.leaving
