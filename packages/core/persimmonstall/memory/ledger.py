"""The endpoint daemon's account of one engine's memory.

A holding is engine memory that one owner uses or has reserved, for a stream or for a segment of a
long prompt.  Every holding has an owner and an expiry time.  A holding counts with the size that
it is expected to reach, not with its maximum, so that callers who ask for far more output than
they use do not keep others out.  An estimate that proves too low is raised as the output grows.
Memory is in tokens, times are in seconds of the local monotonic clock.
"""

import enum
import math

import attrs

MIN_RAISE = 64
"""Minimum number of tokens by which an exceeded estimate is raised."""

RAISE_SHARE = 0.5
"""Fraction of the output so far by which an exceeded estimate is raised."""

ADMIT_SHARE = 0.97
"""Fraction of the engine's memory that new and resumed work may fill; the rest is for growth."""


class HoldingKind(enum.StrEnum):
    """Purpose of a holding: a generating stream or a segment of a long prompt."""

    STREAM = "stream"
    SEGMENT = "segment"


@attrs.define(eq=False)
class Holding:
    """Engine memory that one owner uses or has reserved; sizes in tokens.

    `name` is unique in the ledger; `job_id` is the id of its job on the engine, empty until a
    job is assigned.  `base` is the part that does not grow, `actual` the current size and
    `expected` the estimated final size, which is at most `maximum`.  `started` is the time at
    which the engine confirmed the job.  `parking` is set while the job is being exported.
    """

    name: str
    owner: str
    kind: HoldingKind
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
        """Tokens that this holding takes up in the engine; 0 while it is parked."""
        return 0 if self.parked else max(self.expected, self.actual)

    @property
    def required(self):
        """Tokens that this holding needs in the engine in order to run."""
        return max(self.expected, self.actual)


class Ledger:
    """All holdings of one engine; `capacity` is 0 while it is unknown.

    `committed` is the sum of `counted` over the holdings, `in_use` that of `actual` over those
    not parked, and `unowned` the engine memory outside the ledger.
    """

    def __init__(self, invariants, capacity=0):
        self.invariants = invariants
        self.capacity = capacity
        self.holdings = {}
        self.parked = {}
        self.by_job = {}
        self.committed_tokens = 0
        self.in_use = 0
        self.unowned = 0

    def set_capacity(self, tokens):
        """Set the engine's capacity, as given in its load report."""
        self.capacity = tokens

    def fits(self, tokens):
        """Return whether new work of `tokens` fits beside all holdings and the next parked one.

        >>> from ..invariants import Invariants
        >>> ledger = Ledger(Invariants(strict=True), capacity=100)
        >>> ledger.add(Holding("a", "d", HoldingKind.STREAM, 50, 60, 100, expires_at=9.0))
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
        taken = self.committed_tokens + self.unowned
        return self.capacity * ADMIT_SHARE - taken if taken else self.capacity

    def fits_empty_engine(self, tokens):
        """Return whether work of `tokens` would fit into the engine if it were empty."""
        return not self.capacity or tokens <= self.capacity

    def next_parked_tokens(self):
        """Return the tokens that the parked holding next in line needs, 0 if none is parked."""
        holding = self.next_to_resume()
        return holding.required if holding else 0

    def next_to_resume(self):
        """Return the parked holding that is next in line to be resumed, or None."""
        return min(self.parked.values(), key=resume_order, default=None)

    def add(self, holding):
        """Add a holding; return False if its name is already in use."""
        if holding.name in self.holdings:
            return False
        self.holdings[holding.name] = holding
        self.add_to_totals(holding, 1)
        if holding.job_id:
            self.by_job[holding.job_id] = holding
        return True

    def remove(self, name):
        """Remove and return a holding, or return None if it does not exist."""
        holding = self.holdings.pop(name, None)
        if holding is None:
            return None
        self.add_to_totals(holding, -1)
        self.parked.pop(name, None)
        self.by_job.pop(holding.job_id, None)
        self.check_totals()
        return holding

    def assign_job(self, name, job_id):
        """Assign an engine job to a holding; called before the job is submitted."""
        holding = self.holdings[name]
        self.by_job.pop(holding.job_id, None)
        holding.job_id = job_id
        holding.started = math.inf
        self.by_job[job_id] = holding

    def confirm(self, name, now):
        """Record that the engine has accepted the job of a holding."""
        holding = self.holdings.get(name)
        if holding:
            holding.started = now

    def grow(self, name, actual):
        """Set the current size of a holding; raise its estimate when that is exceeded."""
        holding = self.holdings.get(name)
        if holding is None or holding.parked:
            return
        self.add_to_totals(holding, -1)
        holding.actual = actual
        if actual > holding.expected:
            step = max(MIN_RAISE, int((actual - holding.base) * RAISE_SHARE))
            holding.expected = max(actual, min(holding.maximum, actual + step))
        self.add_to_totals(holding, 1)

    def expect(self, name, tokens):
        """Set the size that a holding is expected to reach."""
        holding = self.holdings[name]
        self.add_to_totals(holding, -1)
        holding.expected = tokens
        self.add_to_totals(holding, 1)

    def park(self, name, now):
        """Stop counting a holding whose memory was exported from the engine."""
        holding = self.holdings[name]
        self.add_to_totals(holding, -1)
        holding.parking = False
        holding.parked = True
        holding.parked_at = now
        self.parked[name] = holding
        self.check_totals()

    def unpark(self, name):
        """Count a holding again, before its export is imported into the engine."""
        holding = self.parked.pop(name)
        holding.parked = False
        self.add_to_totals(holding, 1)

    def renew(self, name, expires_at):
        """Extend the expiry time of a holding; return False if it does not exist."""
        holding = self.holdings.get(name)
        if holding is None:
            return False
        holding.expires_at = max(holding.expires_at, expires_at)
        return True

    def expired(self, now):
        """Return the expired holdings; the caller removes them."""
        return [holding for holding in self.holdings.values() if holding.expires_at <= now]

    def add_to_totals(self, holding, sign):
        """Add a holding to the totals (`sign` 1) or subtract it (-1)."""
        self.committed_tokens += sign * holding.counted
        if not holding.parked:
            self.in_use += sign * holding.actual

    def check_totals(self):
        """Check that the running total equals the sum over all holdings."""
        total = sum(holding.counted for holding in self.holdings.values())
        self.invariants.check(
            "ledger_balanced",
            total == self.committed_tokens,
            f"{total} != {self.committed_tokens}",
        )


def resume_order(holding):
    """Return the sort key for resuming parked holdings: priority, then time of parking."""
    return holding.priority, holding.parked_at, holding.name
