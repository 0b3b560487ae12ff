"""Permits that the owner of a bound grants, so that all entries together keep to it."""

import attrs

from ..limits.bucket import Bucket


@attrs.frozen
class Permit:
    """The answer to a request for a permit.

    If it is granted, the call may be sent after `wait` seconds, else another request may be
    granted then.
    """

    granted: bool
    wait: float


@attrs.frozen
class GrantRule:
    """Permits that one owner grants: `rate` per second, and up to `burst` at once."""

    rate: float
    burst: float


@attrs.define
class Grants:
    """The buckets of the bounds that this entry owns, by endpoint lifetime."""

    buckets: dict = attrs.field(factory=dict)

    def bucket_of(self, lifetime, rule, empty_at, now):
        """Return the bucket of a bound; a new one was empty at the time `empty_at`.

        Another entry may have owned the bound until then, and have granted all it could.
        """
        bucket = self.buckets.get(lifetime)
        if bucket is None:
            bucket = self.buckets[lifetime] = Bucket(rule.rate, rule.burst, empty_at)
            bucket.take(rule.burst, empty_at)
        elif (bucket.rate, bucket.capacity) != (rule.rate, rule.burst):
            bucket.resize(rule.rate, rule.burst, now)
        return bucket

    def acquire(self, bucket, patience, now):
        """Return the `Permit` for one request, which can wait up to `patience` seconds.

        >>> grants = Grants()
        >>> bucket = grants.bucket_of(("e", 1), GrantRule(2.0, 2.0), 0.0, 0.0)
        >>> grants.acquire(bucket, 0.0, 0.5), grants.acquire(bucket, 0.0, 0.5)
        (Permit(granted=True, wait=0.0), Permit(granted=False, wait=0.5))
        """
        wait = bucket.wait(1.0, now)
        if wait > patience:
            return Permit(False, wait)
        bucket.take(1.0, now)
        return Permit(True, wait)

    def forget(self, lifetime):
        """Drop the bucket of a lifetime."""
        self.buckets.pop(lifetime, None)
