"""The endpoint daemon's account of one engine's memory.

Every holding has an owner and a lapse time.  A holding counts with what it is expected to
reach, so that callers who ask for far more than they use do not keep others out; a guess
that proves too low is raised as the output grows.  Memory is in tokens, times in seconds of
the local clock.
"""

import enum
import math

import attrs

FIRST_RAISE = 64
"""Least number of tokens by which a guess that proved too low is raised."""

RAISE_SHARE = 0.5
"""Share of the output so far by which a guess that proved too low is raised."""


ADMIT_SHARE = 0.97
"""Share of the engine's memory that new and returning work may fill; the rest is growth."""


class HoldingKind(enum.StrEnum):
    """What a holding is for."""

    STREAM = "stream"
    SEGMENT = "segment"


@attrs.define(eq=False)
class Holding:
    """Memory that one owner holds or has been promised.

    `name` is unique in the ledger; `job_id` is what the engine knows it by, empty while
    nothing was handed over.  `base` is the part that does not grow, `actual` what is held
    now, `expected` what it is expected to reach, at most `maximum`.  `started` is when the
    engine confirmed the job.  `parking` is set while its export is under way.
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
        """Tokens of engine memory that this holding counts for."""
        return 0 if self.parked else max(self.expected, self.actual)

    @property
    def wanted(self):
        """Tokens of engine memory that this holding needs in order to run."""
        return max(self.expected, self.actual)


class Ledger:
    """All holdings of one engine; `capacity` 0 means that it is not known yet."""

    def __init__(self, invariants, capacity=0):
        self.invariants = invariants
        self.capacity = capacity
        self.holdings = {}
        self.parked = {}
        self.by_job = {}
        self.committed = 0
        self.in_use = 0
        self.unowned = 0

    def set_capacity(self, tokens):
        """Take the engine's memory from its load report."""
        self.capacity = tokens

    def fits(self, tokens):
        """Whether new work of `tokens` fits beside all holdings and the next parked one.

        >>> from ..invariants import Invariants
        >>> ledger = Ledger(Invariants(strict=True), capacity=100)
        >>> ledger.add(Holding("a", "d", HoldingKind.STREAM, 50, 60, 100, expires_at=9.0))
        True
        >>> ledger.fits(37), ledger.fits(38)
        (True, False)
        """
        return self.next_parked() + tokens <= self.room()

    def room(self):
        """Return the tokens that may still be filled; all of them in an empty engine."""
        if not self.capacity:
            return math.inf
        taken = self.committed + self.unowned
        return self.capacity * ADMIT_SHARE - taken if taken else self.capacity

    def fits_empty_engine(self, tokens):
        """Whether work of `tokens` fits into the empty engine."""
        return not self.capacity or tokens <= self.capacity

    def next_parked(self):
        """Return the tokens that the parked holding whose turn is next needs."""
        holding = self.resumable()
        return holding.wanted if holding else 0

    def resumable(self):
        """Return the parked holding whose turn is next, or None."""
        return min(self.parked.values(), key=turn, default=None)

    def add(self, holding):
        """Enter a holding; False when its name is taken."""
        if holding.name in self.holdings:
            return False
        self.holdings[holding.name] = holding
        self.count(holding, 1)
        if holding.job_id:
            self.by_job[holding.job_id] = holding
        return True

    def remove(self, name):
        """Take a holding out and return it, or None when it is not here."""
        holding = self.holdings.pop(name, None)
        if holding is None:
            return None
        self.count(holding, -1)
        self.parked.pop(name, None)
        self.by_job.pop(holding.job_id, None)
        self.check()
        return holding

    def assign_job(self, name, job_id):
        """Note the name by which the engine will know a holding, before the engine is told."""
        holding = self.holdings[name]
        self.by_job.pop(holding.job_id, None)
        holding.job_id = job_id
        holding.started = math.inf
        self.by_job[job_id] = holding

    def confirm(self, name, now):
        """Note that the engine has taken the job of a holding."""
        holding = self.holdings.get(name)
        if holding:
            holding.started = now

    def grow(self, name, actual):
        """Note what a holding has come to; raise its guess when that was too low."""
        holding = self.holdings.get(name)
        if holding is None or holding.parked:
            return
        self.count(holding, -1)
        holding.actual = actual
        if actual > holding.expected:
            step = max(FIRST_RAISE, int((actual - holding.base) * RAISE_SHARE))
            holding.expected = max(actual, min(holding.maximum, actual + step))
        self.count(holding, 1)

    def expect(self, name, tokens):
        """Change what a holding is expected to reach."""
        holding = self.holdings[name]
        self.count(holding, -1)
        holding.expected = tokens
        self.count(holding, 1)

    def park(self, name, now):
        """Stop counting a holding whose memory has left the engine."""
        holding = self.holdings[name]
        self.count(holding, -1)
        holding.parking = False
        holding.parked = True
        holding.parked_at = now
        self.parked[name] = holding
        self.check()

    def unpark(self, name):
        """Count a holding again whose memory comes back to the engine."""
        holding = self.parked.pop(name)
        holding.parked = False
        self.count(holding, 1)

    def renew(self, name, expires_at):
        """Put off the lapse of a holding; False when it is not here."""
        holding = self.holdings.get(name)
        if holding is None:
            return False
        holding.expires_at = max(holding.expires_at, expires_at)
        return True

    def expired(self, now):
        """Return the holdings whose time is over; the caller removes them."""
        return [holding for holding in self.holdings.values() if holding.expires_at <= now]

    def count(self, holding, sign):
        """Add a holding to the sums, or take it off."""
        self.committed += sign * holding.counted
        if not holding.parked:
            self.in_use += sign * holding.actual

    def check(self):
        """Assert that the sums are those of the holdings."""
        total = sum(holding.counted for holding in self.holdings.values())
        self.invariants.check(
            "ledger_balanced", total == self.committed, f"{total} != {self.committed}"
        )


def turn(holding):
    """Return the sort key by which parked holdings come back: priority, then time."""
    return holding.priority, holding.parked_at, holding.name
