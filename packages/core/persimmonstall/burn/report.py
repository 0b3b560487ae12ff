"""Burn rates from the counts of one or more daemons.

A burn rate of 1 uses exactly the error budget that the objective allows.  The state depends on
two windows at once, so that an alert is both raised and cleared quickly.
"""

import enum
from collections import defaultdict

import attrs

from .objectives import ORDER, Objective, target_share

FAST_BURN = 14.4
"""Burn rate over the two shorter windows that needs immediate action."""

SLOW_BURN = 6.0
"""Burn rate over the two longer windows that needs action within a day."""

MIN_EVENTS = 5.0
"""Windows with fewer events are ignored when the state is determined."""


class BurnState(enum.StrEnum):
    """Urgency of a `BurnRow`."""

    OK = "ok"
    SLOW = "slow_burn"
    FAST = "fast_burn"


@attrs.frozen
class BurnRow:
    """Counts of one organisation, length class and objective at one daemon."""

    organisation: str
    length_class: str
    objective: str
    target: float
    windows: tuple

    @property
    def rates(self):
        """Burn rate in each window, the shortest window first."""
        budget = 1.0 - self.target
        return tuple(window.bad_share / budget if budget else 0.0 for window in self.windows)

    @property
    def state(self):
        """The `BurnState` that follows from the burn rates."""
        rates = [
            rate if window.total >= MIN_EVENTS else 0.0
            for rate, window in zip(self.rates, self.windows, strict=True)
        ]
        if min(rates[0], rates[1]) >= FAST_BURN:
            return BurnState.FAST
        if min(rates[1], rates[2]) >= SLOW_BURN:
            return BurnState.SLOW
        return BurnState.OK


def merge(rows):
    """Return the rows of several daemons summed by organisation, class and objective.

    The row with the highest burn rate comes first.
    """
    groups = defaultdict(list)
    for row in rows:
        groups[row.organisation, row.length_class, row.objective].append(row)
    merged = [sum_rows(group) for group in groups.values()]
    return sorted(merged, key=lambda row: (-max(row.rates), row.organisation, row.length_class))


def sum_rows(rows):
    """Return the sum of rows of the same organisation, class and objective."""
    first = rows[0]
    windows = first.windows
    for row in rows[1:]:
        windows = tuple(a + b for a, b in zip(windows, row.windows, strict=True))
    return attrs.evolve(first, windows=windows)


def row_of(organisation, length_class, objective, counts, objectives, now):
    """Return the `BurnRow` of one objective from a `BurnCounts`."""
    required = target_share(objectives, Objective(objective))
    windows = counts.read(ORDER.index(objective), now)
    return BurnRow(organisation, length_class, str(objective), required, windows)
