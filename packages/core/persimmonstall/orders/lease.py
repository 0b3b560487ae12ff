"""The lease that allows one daemon to send orders to an engine, with its fencing number.

The lease's row contains the holder and the fencing number.  Daemons share no clock, so another
daemon takes the lease over only after it has seen the row unchanged for the length of the lease by
its own clock.  If the engine does not check fencing numbers, that daemon waits for `pause_bound`,
the longest pause of a daemon, in addition.  A holder that was paused just before it sent an order
has resumed by then, so its order arrives before the first order of the new holder.
"""

import attrs
import msgspec

from ..outside.table import ABSENT, Write

LEASES = "order_leases"


@attrs.frozen
class LeaseRow:
    """Value of the lease's row; an empty `holder` means that the lease was released."""

    holder: str
    fence: int


@attrs.frozen
class HeldLease:
    """A lease held until `until` (monotonic seconds) with the fencing number `fence`."""

    fence: int
    until: float

    def covers(self, now, seconds):
        """Return whether an order that takes up to `seconds` finishes within the lease.

        >>> HeldLease(1, 10.0).covers(8.0, 1.0), HeldLease(1, 10.0).covers(9.5, 1.0)
        (True, False)
        """
        return now + seconds < self.until


@attrs.frozen
class AcquireLease:
    """Commit `write` to acquire or renew the lease with fencing number `fence`."""

    write: Write
    fence: int


@attrs.frozen
class WaitForLease:
    """Another daemon may still hold the lease; check again after `seconds`."""

    seconds: float


def encode(lease):
    """Return the value of a lease's row.

    >>> decode(encode(LeaseRow("a", 3)))
    LeaseRow(holder='a', fence=3)
    """
    return msgspec.json.encode(lease)


def decode(data):
    """Return the `LeaseRow` of a row's value."""
    return msgspec.json.decode(data, type=LeaseRow)


def plan_acquisition(row, endpoint, holder, unchanged, takeover_delay):
    """Return what a daemon `holder` that needs the lease on `endpoint` does next.

    `unchanged` is the time in seconds for which this daemon has seen the row unchanged; once it is
    at least `takeover_delay`, the lease of another holder counts as expired.  The result is an
    `AcquireLease` or a `WaitForLease`.

    >>> plan_acquisition(None, "e", "a", 0.0, 10.0).fence
    1
    """
    if row is None:
        return acquire(endpoint, holder, 1, ABSENT)
    lease = decode(row.value)
    if lease.holder == holder:
        return acquire(endpoint, holder, lease.fence, row.version)
    if not lease.holder or unchanged >= takeover_delay:
        return acquire(endpoint, holder, lease.fence + 1, row.version)
    return WaitForLease(takeover_delay - unchanged)


def acquire(endpoint, holder, fence, expected):
    """Return the decision to acquire or renew a lease."""
    write = Write(LEASES, endpoint, expected, encode(LeaseRow(holder, fence)))
    return AcquireLease(write, fence)


def release(row, endpoint, holder):
    """Return the write that releases the lease, None if `holder` does not hold it."""
    if row is None:
        return None
    lease = decode(row.value)
    if lease.holder != holder:
        return None
    return Write(LEASES, endpoint, row.version, encode(LeaseRow("", lease.fence)))


def takeover_delay(settings, fence_checked):
    """Return the seconds after which another holder's unchanged lease counts as expired."""
    extra = 0.0 if fence_checked else settings.orders.pause_bound
    return settings.orders.lease + extra
