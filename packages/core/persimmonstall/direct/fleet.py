"""The endpoints that an entry knows, from a list that may lag, lapse and be out of reach."""

import attrs

RETURN_GRACE = 2.0
"""Seconds after the list's return for which endpoints missing from it are still used."""


@attrs.define
class Fleet:
    """Endpoints by name, at a version of the list that never falls.

    An endpoint that leaves the list is dropped at once, unless the list was out of reach: then
    live endpoints may be missing from it for a while after its return.
    """

    version: int = 0
    endpoints: dict = attrs.field(factory=dict)
    missing: dict = attrs.field(factory=dict)
    tolerant_until: float = 0.0

    def replace(self, endpoints, version, now):
        """Take a whole read of the list: endpoints by name."""
        if version < self.version:
            return
        for name in set(self.endpoints) - set(endpoints):
            self.remove(name, now)
        for endpoint in endpoints.values():
            self.put(endpoint)
        self.version = version

    def change(self, changes, version, now):
        """Take changes since `version`: pairs of a name and its endpoint, None if removed."""
        if version < self.version:
            return
        for name, endpoint in changes:
            if endpoint is None:
                self.remove(name, now)
            else:
                self.put(endpoint)
        self.version = version

    def put(self, endpoint):
        """Keep the newest word on an endpoint."""
        self.endpoints[endpoint.name] = endpoint
        self.missing.pop(endpoint.name, None)

    def remove(self, name, now):
        """Drop an endpoint, or note that it is missing while that may be the list's fault."""
        if name not in self.endpoints:
            return
        if now < self.tolerant_until and not self.endpoints[name].leaving:
            self.missing.setdefault(name, self.tolerant_until)
        else:
            del self.endpoints[name]
            self.missing.pop(name, None)

    def returned(self, now):
        """Note that the list is in reach again after an outage."""
        self.tolerant_until = now + RETURN_GRACE

    def expire(self, now):
        """Drop endpoints that are still missing after the grace; return their names."""
        gone = [name for name, until in self.missing.items() if until <= now]
        for name in gone:
            del self.missing[name]
            self.endpoints.pop(name, None)
        return gone

    def usable(self, service):
        """Return the endpoints of a service that take new work."""
        return [e for e in self.endpoints.values() if e.service == service and not e.leaving]
