"""Endpoints known to an entry, from a list that can be stale, incomplete or unreachable."""

import attrs
import msgspec
import xxhash

OUTAGE_GRACE_SECONDS = 2.0
"""Seconds for which endpoints missing from the list are still used once the list is reachable
again after an outage."""


@attrs.define
class Fleet:
    """Endpoints by name, as of a `revision` of the list, which never decreases.

    An endpoint that is removed from the list is dropped at once, except after an outage of the
    list: then live endpoints may be missing from it for a while.  `missing` maps the names of such
    endpoints to the time at which they are dropped.  `cached_digest` is None after a change.
    """

    revision: int = 0
    endpoints: dict = attrs.field(factory=dict)
    missing: dict = attrs.field(factory=dict)
    grace_until: float = 0.0
    cached_digest: int | None = None

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
        for name in set(self.endpoints) - set(endpoints):
            self.remove(name, now)
        for endpoint in endpoints.values():
            self.put(endpoint)
        self.revision = revision

    def change(self, changes, revision, now):
        """Apply changes up to `revision`: pairs of a name and its endpoint, None if removed."""
        if revision < self.revision:
            return
        for name, endpoint in changes:
            if endpoint is None:
                self.remove(name, now)
            else:
                self.put(endpoint)
        self.revision = revision

    def put(self, endpoint):
        """Add an endpoint or replace its state."""
        self.endpoints[endpoint.name] = endpoint
        self.cached_digest = None
        self.missing.pop(endpoint.name, None)

    def remove(self, name, now):
        """Drop an endpoint, or mark it as missing if the list may just be incomplete."""
        if name not in self.endpoints:
            return
        if now < self.grace_until and not self.endpoints[name].leaving:
            self.missing.setdefault(name, self.grace_until)
        else:
            self.drop(name)

    def drop(self, name):
        """Drop an endpoint at once."""
        self.endpoints.pop(name, None)
        self.missing.pop(name, None)
        self.cached_digest = None

    def start_grace(self, now):
        """Start the grace period: the list is reachable again after an outage."""
        self.grace_until = now + OUTAGE_GRACE_SECONDS

    def expire(self, now):
        """Drop endpoints that are still missing after the grace period; return their names."""
        gone = [name for name, until in self.missing.items() if until <= now]
        for name in gone:
            self.drop(name)
        return gone

    def lifetimes(self):
        """Return the lifetimes of all endpoints."""
        return {endpoint.lifetime for endpoint in self.endpoints.values()}

    def usable(self, service):
        """Return the endpoints of a service that accept new calls."""
        return [e for e in self.endpoints.values() if e.service == service and not e.leaving]
