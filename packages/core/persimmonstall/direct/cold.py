"""Endpoints that are cold: for some seconds after a start, or when they say so.

A cold endpoint crashes if it gets too many requests, so its service names how many it takes each
second from all entries together.  Each request to a cold endpoint needs a permit of the entry that
owns its bound, before it is sent; without one it goes elsewhere.
"""

import attrs

from .grants import GrantRule, Grants, Permit

OWNERS = 2
"""Entries that may take themselves for the owner of a bound at the same time; each grants an equal
part of it."""

SEND_SECONDS = 0.2
"""Time from asking for a permit, its wait aside, after which the request is not sent any more."""

GRANT_SECONDS = 1.5
"""Time within which permits are granted whose requests can arrive within one second: that second,
`SEND_SECONDS`, and the time for connecting, both with a margin."""

BURST_SHARE = 0.25
"""Share of an owner's part that may be granted at once."""

MIN_COLD_BURST = 1.0

RETRY_SECONDS = 0.25
"""Time after which another request may be granted if the bound allows none that is certain."""

COLD_SECONDS = 0.15
"""Latency that coldness adds to a call, for the choice among endpoints."""

COLD_LOAD = 0.5
"""The same for plain services; 1.0 is the load of a full endpoint."""


@attrs.frozen
class ColdBound:
    """How long a service's endpoints are cold after a start, and the requests per second for one.

    >>> ColdBound(3.0, 32.0 * 1.5 + 5.0).rule
    GrantRule(rate=13.25, burst=6.625)
    >>> ColdBound(3.0, 1.5).rule is None
    True
    """

    start: float
    requests: float

    @property
    def rule(self):
        """What one owner grants, None if the bound is too low for two owners.

        Over `GRANT_SECONDS` burst and rate make up its part of the bound.
        """
        part = self.requests / OWNERS
        burst = max(MIN_COLD_BURST, BURST_SHARE * part)
        if part <= burst:
            return None
        return GrantRule((part - burst) / GRANT_SECONDS, burst)


def bounds_of(configuration, overage, slack):
    """Return the `ColdBound`s of a configuration's services that name one, by service name."""
    return {
        service.name: ColdBound(service.cold_start, service.cold_rate * overage + slack)
        for service in configuration.services.values()
        if service.cold_rate > 0.0
    }


@attrs.frozen
class Coldness:
    """Until when a lifetime is cold, as far as known; `said` is what its row said last."""

    until: float
    said: float | None = None


@attrs.define
class ColdEndpoints:
    """Cold lifetimes of endpoints whose service names a bound, and the permits for them.

    `overage` and `slack` turn a service's requests per second into the bound for any second.
    """

    overage: float = 1.0
    slack: float = 0.0
    bounds: dict = attrs.field(factory=dict)
    lifetimes: dict = attrs.field(factory=dict)
    grants: Grants = attrs.field(factory=Grants)

    def configure(self, configuration, endpoints, now):
        """Take over the bounds of a configuration; `endpoints` are those listed already."""
        before = self.bounds
        self.bounds = bounds_of(configuration, self.overage, self.slack)
        for endpoint in endpoints:
            if endpoint.service not in before:
                self.observe_row(endpoint, False, now)

    def is_cold(self, endpoint, now):
        """Return whether an endpoint is cold."""
        return self.seconds_left(endpoint.lifetime, now) > 0.0 and endpoint.service in self.bounds

    def seconds_left(self, lifetime, now):
        """Return for how many seconds a lifetime is still cold, 0 if it is not."""
        known = self.lifetimes.get(lifetime)
        return 0.0 if known is None else max(0.0, known.until - now)

    def count(self, now):
        """Return the number of cold endpoints."""
        return sum(known.until > now for known in self.lifetimes.values())

    def observe_row(self, endpoint, started, now):
        """Record what an endpoint's row says; return whether it turns cold.

        `started` says that its lifetime began while this entry watched the list: a row that says
        nothing is then taken for that of a cold endpoint.  A row that says the same as before is
        not read as news while it holds.
        """
        bound = self.bounds.get(endpoint.service)
        if bound is None:
            return False
        said, known = endpoint.cold_seconds, self.lifetimes.get(endpoint.lifetime)
        if said is None:
            return started and self.extend(endpoint.lifetime, now + bound.start, now)
        if said > 0.0:
            if known is not None and known.said == said and known.until > now:
                return False
            return self.extend(endpoint.lifetime, now + said, now, said)
        if known is not None and known.said:
            self.lifetimes[endpoint.lifetime] = Coldness(now, said)
        return False

    def presume(self, endpoint, now):
        """Take an endpoint that was out of use for cold, as it may say so only later."""
        bound = self.bounds.get(endpoint.service)
        return bound is not None and self.extend(endpoint.lifetime, now + bound.start, now)

    def record_answer(self, endpoint, seconds, now):
        """Record for how long an endpoint says it is cold; return whether that is new."""
        if endpoint.service not in self.bounds:
            return False
        return self.extend(endpoint.lifetime, now + seconds, now)

    def extend(self, lifetime, until, now, said=None):
        """Let a lifetime be cold until a time, or longer; return whether it was not cold."""
        known = self.lifetimes.get(lifetime)
        was_cold = known is not None and known.until > now
        if known is not None:
            said = known.said if said is None else said
            until = max(until, known.until)
        self.lifetimes[lifetime] = Coldness(until, said)
        return until > now and not was_cold

    def acquire(self, lifetime, service, patience, now):
        """Return the `Permit` for one request to a cold endpoint, as the owner of its bound."""
        bound = self.bounds.get(service)
        rule = None if bound is None else bound.rule
        if rule is None:
            return Permit(False, RETRY_SECONDS)
        bucket = self.grants.bucket_of(lifetime, rule, now, now)
        return self.grants.acquire(bucket, patience, now)

    def unpermitted(self, placed, now):
        """Return an endpoint of a `PlacedAttempt` that lacks a valid permit, None if none does."""
        for endpoint in placed.endpoints:
            permitted = endpoint.name in placed.permitted and now <= placed.permitted_until
            if not permitted and self.is_cold(endpoint, now):
                return endpoint
        return None

    def expire(self, listed):
        """Drop lifetimes that are not `listed` any more."""
        for lifetime in [each for each in self.lifetimes if each not in listed]:
            del self.lifetimes[lifetime]
        for lifetime in [each for each in self.grants.buckets if each not in listed]:
            self.grants.forget(lifetime)
