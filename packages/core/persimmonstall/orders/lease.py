"""The lease that lets one daemon order an engine, and its fencing number.

The row names the holder and the fencing number.  Daemons share no clock, so a taker waits
until it has seen the row unchanged for the whole lease by its own clock.  For an engine that
does not check fencing numbers it waits the pause bound as well: an order that a paused holder
sends after it wakes then arrives before the taker's first one.
"""

import attrs
import msgspec

from ..outside.table import ABSENT, Write

LEASES = "order_leases"


@attrs.frozen
class LeaseRow:
    """Value of an endpoint's row; an empty `holder` means that it was released."""

    holder: str
    fence: int


@attrs.frozen
class HeldLease:
    """The right to order until `until` (monotonic seconds) with this fencing number."""

    fence: int
    until: float

    def covers(self, now, seconds):
        """Return whether an order that takes up to `seconds` ends within the lease.

        >>> HeldLease(1, 10.0).covers(8.0, 1.0), HeldLease(1, 10.0).covers(9.5, 1.0)
        (True, False)
        """
        return now + seconds < self.until


@attrs.frozen
class AcquireLease:
    """Write `write`; once it is committed the writer holds the lease with `fence`."""

    write: Write
    fence: int


@attrs.frozen
class WaitForLease:
    """Another daemon may still order; look again after `seconds`."""

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
    """Return `AcquireLease` or `WaitForLease` for the daemon `holder` that wants to order `endpoint`.

    `unchanged` is how long this daemon has seen the row as it is, in seconds; `takeover_delay` is
    how long that must be before the lease of another holder counts as lapsed.

    >>> plan_acquisition(None, "e", "a", 0.0, 10.0).fence
    1
    """
    if row is None:
        return take(endpoint, holder, 1, ABSENT)
    lease = decode(row.value)
    if lease.holder == holder:
        return take(endpoint, holder, lease.fence, row.version)
    if not lease.holder or unchanged >= takeover_delay:
        return take(endpoint, holder, lease.fence + 1, row.version)
    return WaitForLease(takeover_delay - unchanged)


def take(endpoint, holder, fence, expected):
    """Return the conditional write that takes or renews a lease."""
    write = Write(LEASES, endpoint, expected, encode(LeaseRow(holder, fence)))
    return AcquireLease(write, fence)


def release(row, endpoint, holder):
    """Return the write that gives the lease back, None when `holder` does not have it."""
    if row is None:
        return None
    lease = decode(row.value)
    if lease.holder != holder:
        return None
    return Write(LEASES, endpoint, row.version, encode(LeaseRow("", lease.fence)))


def takeover_delay(settings, fence_checked):
    """Return the seconds after which another holder's lease counts as lapsed."""
    extra = 0.0 if fence_checked else settings.orders.pause_bound
    return settings.orders.lease + extra
