"""Limits on the requests a second that endpoints name in their answers.

A limit holds for all entries together.  One entry owns the limit of an endpoint, by rendezvous
hashing; it alone grants the permits by which any entry sends a request there.
"""

import attrs

from .change_log import ChangeLog
from .grants import GrantRule, Grants

USABLE_SHARE = 0.75
"""Share of a limit that its owner grants: while two entries take themselves for the owner, they
grant one and a half times the limit."""

BURST_REQUESTS = 2.0
"""Number of requests that may be granted at once after a pause."""

MIN_RATE = 0.05
"""Lowest rate in requests per second that is granted, so that the end of a limit is seen."""

PROBE_SECONDS = 2.0
"""Age of a limit from which a call goes to its endpoint to learn whether the limit still holds."""

LIFTED_SECONDS = 10.0
"""Time for which a lifted limit is remembered, so that an older report does not restore it."""

UNLISTED_SECONDS = 60.0
"""Time for which the limit of an endpoint that is not in the list is remembered."""

MAX_REPORTS = 64
"""Maximum number of limits in one datagram; the newest ones are sent."""


@attrs.frozen
class LimitReport:
    """A limit that an endpoint's lifetime named `age` seconds ago.

    `rate` is in requests per second; None says that the endpoint has ceased to name a limit.
    """

    endpoint: str
    born: int
    rate: float | None
    age: float

    @property
    def lifetime(self):
        """Identifier of the endpoint's lifetime."""
        return self.endpoint, self.born


@attrs.frozen
class NamedLimit:
    """The limit that an endpoint named at the time `named_at`; a `rate` of None is no limit."""

    rate: float | None
    named_at: float


@attrs.define
class RequestLimits:
    """Limits by endpoint lifetime, and the permits for those that this entry owns."""

    limits: dict = attrs.field(factory=dict)
    grants: Grants = attrs.field(factory=Grants)
    changes: ChangeLog = attrs.field(factory=ChangeLog)

    def rate(self, lifetime):
        """Return the limit of an endpoint in requests per second, None if it has none."""
        limit = self.limits.get(lifetime)
        return None if limit is None else limit.rate

    def observe(self, lifetime, rate, sent_at, now):
        """Record the limit that an answer names, None for none; return whether it changed.

        `sent_at` is when the call was sent.  An answer without a limit lifts one only if the call
        was sent after the limit was last named: answers can overtake each other.
        """
        known = self.limits.get(lifetime)
        if rate is None and (known is None or known.rate is None or sent_at <= known.named_at):
            return False
        self.limits[lifetime] = NamedLimit(rate, now)
        if known is not None and known.rate == rate:
            return False
        self.changes.record(lifetime)
        return True

    def merge_remote(self, reports, now):
        """Merge the limits that another entry reports; of two, the one named last counts.

        Return the reports that changed a limit.
        """
        changed = []
        for report in reports:
            known = self.limits.get(report.lifetime)
            named_at = now - report.age
            if known is not None and known.named_at >= named_at:
                continue
            if known is None and report.rate is None:
                continue
            self.limits[report.lifetime] = NamedLimit(report.rate, named_at)
            if known is None or known.rate != report.rate:
                changed.append(report)
        return changed

    def probe_due(self, lifetime, now):
        """Return whether a limit is so old that its endpoint should be asked by a call."""
        limit = self.limits.get(lifetime)
        return (
            limit is not None and limit.rate is not None and now - limit.named_at >= PROBE_SECONDS
        )

    def acquire(self, lifetime, rate, patience, now):
        """Return the `Permit` for one request, as the owner of the limit.

        `rate` is the limit that the asking entry knows, in requests per second; `patience` is the
        longest time in seconds that the request can wait for its turn.
        """
        own_rate = self.rate(lifetime)
        bucket = self.bucket_of(lifetime, rate if own_rate is None else own_rate, now)
        return self.grants.acquire(bucket, patience, now)

    def bucket_of(self, lifetime, rate, now):
        """Return the bucket of a limit; a new one was empty when the limit was last named."""
        rule = GrantRule(USABLE_SHARE * max(MIN_RATE, rate), BURST_REQUESTS)
        limit = self.limits.get(lifetime)
        empty_at = now if limit is None else limit.named_at
        return self.grants.bucket_of(lifetime, rule, empty_at, now)

    def local_changes(self, now):
        """Return reports of the limits that changed lately, to be sent to other entries."""
        return self.reports(self.changes.pending(), now)

    def local_state(self, now):
        """Return reports of all limits, to be sent to other entries."""
        return self.reports(self.limits, now)

    def reports(self, lifetimes, now):
        """Return the newest `MAX_REPORTS` reports on the limits of `lifetimes`."""
        known = [lifetime for lifetime in lifetimes if lifetime in self.limits]
        known.sort(key=lambda lifetime: self.limits[lifetime].named_at)
        return tuple(self.report(lifetime, now) for lifetime in known[-MAX_REPORTS:])

    def report(self, lifetime, now):
        """Return the report on the limit of an endpoint lifetime."""
        limit = self.limits[lifetime]
        return LimitReport(*lifetime, limit.rate, round(now - limit.named_at, 3))

    def expire(self, listed, now):
        """Drop lifted limits, and those of endpoints that are not among the `listed` lifetimes."""
        for lifetime, limit in list(self.limits.items()):
            age = now - limit.named_at
            lifted = limit.rate is None and age > LIFTED_SECONDS
            if lifted or (lifetime not in listed and age > UNLISTED_SECONDS):
                del self.limits[lifetime]
                self.grants.forget(lifetime)
