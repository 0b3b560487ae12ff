"""The endpoint daemon's account of one engine's memory.

An allocation is engine memory that one owner uses or has reserved, for a stream or for a segment
of a long prompt.  Every allocation has an owner and an expiry time.  It counts with the size that
it is expected to reach, not with its maximum, so that callers who ask for far more output than
they use do not keep others out.  An estimate that proves too low is raised as the output grows.
Memory is in tokens, times are in seconds of the local monotonic clock.
"""

import enum
import math

import attrs

MIN_RAISE_TOKENS = 64
"""Minimum number of tokens by which an exceeded estimate is raised."""

RAISE_SHARE = 0.5
"""Fraction of the output so far by which an exceeded estimate is raised."""

ADMIT_SHARE = 0.97
"""Fraction of the engine's memory that new and resumed work may fill; the rest is for growth."""


class AllocationKind(enum.StrEnum):
    """Purpose of an allocation: a generating stream or a segment of a long prompt."""

    STREAM = "stream"
    SEGMENT = "segment"


@attrs.define(eq=False)
class Allocation:
    """Engine memory that one owner uses or has reserved; sizes in tokens.

    `name` is unique in the ledger; `job_id` is the id of its job on the engine, empty until a
    job is assigned.  `base` is the part that does not grow, `actual` the current size and
    `expected` the estimated final size, which is at most `maximum`.  `started` is the time at
    which the engine confirmed the job.  `parking` is set while the job is being exported.
    """

    name: str
    owner: str
    kind: AllocationKind
    base: int
    expected: int
    maximum: int
    expires_at: float
    priority: int = 0
    job_id: str = ""
    actual: int = 0
    started: float = math.inf
    parking: bool = False
    parked: bool = False
    parked_at: float = 0.0
    parkable: bool = True

    @property
    def counted(self):
        """Tokens that this allocation takes up in the engine; 0 while it is parked."""
        return 0 if self.parked else max(self.expected, self.actual)

    @property
    def required(self):
        """Tokens that this allocation needs in the engine in order to run."""
        return max(self.expected, self.actual)


class Ledger:
    """All allocations of one engine; `capacity` is 0 while it is unknown.

    `committed_tokens` is the sum of `counted` over the allocations, `in_use` that of `actual`
    over those not parked, and `unowned_tokens` the engine memory outside the ledger.
    """

    def __init__(self, invariants, capacity=0):
        self.invariants = invariants
        self.capacity = capacity
        self.allocations = {}
        self.parked = {}
        self.by_job = {}
        self.committed_tokens = 0
        self.in_use = 0
        self.unowned_tokens = 0

    def set_capacity(self, tokens):
        """Set the engine's capacity, as given in its load report."""
        self.capacity = tokens

    def fits(self, tokens):
        """Return whether new work of `tokens` fits beside all allocations and the next parked one.

        >>> from ..invariants import Invariants
        >>> ledger = Ledger(Invariants(strict=True), capacity=100)
        >>> ledger.add(Allocation("a", "d", AllocationKind.STREAM, 50, 60, 100, expires_at=9.0))
        True
        >>> ledger.fits(37), ledger.fits(38)
        (True, False)
        """
        return self.next_parked_tokens() + tokens <= self.free_tokens()

    def free_tokens(self):
        """Return the tokens that may still be allocated.

        An empty engine may be filled completely, so that its largest request can run.
        """
        if not self.capacity:
            return math.inf
        taken = self.committed_tokens + self.unowned_tokens
        return self.capacity * ADMIT_SHARE - taken if taken else self.capacity

    def fits_empty_engine(self, tokens):
        """Return whether work of `tokens` would fit into the engine if it were empty."""
        return not self.capacity or tokens <= self.capacity

    def next_parked_tokens(self):
        """Return the tokens that the parked allocation next in line needs, 0 if none is parked."""
        allocation = self.next_to_resume()
        return allocation.required if allocation else 0

    def next_to_resume(self):
        """Return the parked allocation that is next in line to be resumed, or None."""
        return min(self.parked.values(), key=resume_order, default=None)

    def add(self, allocation):
        """Add an allocation; return False if its name is already in use."""
        if allocation.name in self.allocations:
            return False
        self.allocations[allocation.name] = allocation
        self.add_to_totals(allocation, 1)
        if allocation.job_id:
            self.by_job[allocation.job_id] = allocation
        return True

    def remove(self, name):
        """Remove and return an allocation, or return None if it does not exist."""
        allocation = self.allocations.pop(name, None)
        if allocation is None:
            return None
        self.add_to_totals(allocation, -1)
        self.parked.pop(name, None)
        self.by_job.pop(allocation.job_id, None)
        self.check_totals()
        return allocation

    def assign_job(self, name, job_id):
        """Assign an engine job to an allocation; called before the job is submitted."""
        allocation = self.allocations[name]
        self.by_job.pop(allocation.job_id, None)
        allocation.job_id = job_id
        allocation.started = math.inf
        self.by_job[job_id] = allocation

    def confirm(self, name, now):
        """Record that the engine has accepted the job of an allocation."""
        allocation = self.allocations.get(name)
        if allocation:
            allocation.started = now

    def grow(self, name, actual):
        """Set the current size of an allocation; raise its estimate when that is exceeded."""
        allocation = self.allocations.get(name)
        if allocation is None or allocation.parked:
            return
        self.add_to_totals(allocation, -1)
        allocation.actual = actual
        if actual > allocation.expected:
            step = max(MIN_RAISE_TOKENS, int((actual - allocation.base) * RAISE_SHARE))
            allocation.expected = max(actual, min(allocation.maximum, actual + step))
        self.add_to_totals(allocation, 1)

    def expect(self, name, tokens):
        """Set the size that an allocation is expected to reach."""
        allocation = self.allocations[name]
        self.add_to_totals(allocation, -1)
        allocation.expected = tokens
        self.add_to_totals(allocation, 1)

    def park(self, name, now):
        """Stop counting an allocation whose memory was exported from the engine."""
        allocation = self.allocations[name]
        self.add_to_totals(allocation, -1)
        allocation.parking = False
        allocation.parked = True
        allocation.parked_at = now
        self.parked[name] = allocation
        self.check_totals()

    def unpark(self, name):
        """Count an allocation again, before its export is imported into the engine."""
        allocation = self.parked.pop(name)
        allocation.parked = False
        self.add_to_totals(allocation, 1)

    def renew(self, name, expires_at):
        """Extend the expiry time of an allocation; return False if it does not exist."""
        allocation = self.allocations.get(name)
        if allocation is None:
            return False
        allocation.expires_at = max(allocation.expires_at, expires_at)
        return True

    def expired(self, now):
        """Return the expired allocations; the caller removes them."""
        return [
            allocation for allocation in self.allocations.values() if allocation.expires_at <= now
        ]

    def add_to_totals(self, allocation, sign):
        """Add an allocation to the totals (`sign` 1) or subtract it (-1)."""
        self.committed_tokens += sign * allocation.counted
        if not allocation.parked:
            self.in_use += sign * allocation.actual

    def check_totals(self):
        """Check that the running total equals the sum over all allocations."""
        total = sum(allocation.counted for allocation in self.allocations.values())
        self.invariants.check(
            "ledger_balanced",
            total == self.committed_tokens,
            f"{total} != {self.committed_tokens}",
        )


def resume_order(allocation):
    """Return the sort key for resuming parked allocations: priority, then time of parking."""
    return allocation.priority, allocation.parked_at, allocation.name
