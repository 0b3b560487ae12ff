"""Choice of the streams to park when an engine runs short of memory, and to resume later.

Low-priority streams are parked first, and among these the longest, which frees the most memory
at the expense of the least urgent work.  One stream always keeps running, and every stream fits
into the engine alone, so some stream always finishes and frees memory: there is no deadlock.
"""

from .ledger import HoldingKind

GROWTH_PER_STREAM = 64
"""Allowance in tokens for the growth of a stream while others are being parked."""

SPARE_SHARE = 0.05
"""Fraction of the engine's memory that parking frees beyond the shortage."""


def shortage(ledger):
    """Return the tokens by which the engine will soon exceed its capacity, 0 if it will not.

    >>> from ..invariants import Invariants
    >>> from .ledger import Holding, Ledger
    >>> ledger = Ledger(Invariants(strict=True), capacity=1000)
    >>> _ = ledger.add(Holding("a", "d", HoldingKind.STREAM, 900, 900, 2000, 9.0, job_id="j"))
    >>> ledger.grow("a", 990)
    >>> shortage(ledger)
    54
    """
    upper_bound = ledger.in_use + ledger.unowned + len(ledger.holdings) * GROWTH_PER_STREAM
    if not ledger.capacity or upper_bound <= ledger.capacity:
        return 0
    staying = [
        holding
        for holding in ledger.holdings.values()
        if not holding.parked and not holding.parking
    ]
    projected = ledger.unowned + sum(holding.actual + GROWTH_PER_STREAM for holding in staying)
    return max(0, projected - ledger.capacity)


def choose_victims(ledger):
    """Return the holdings to park now, least urgent first; empty if there is no shortage."""
    short = shortage(ledger)
    if not short:
        return []
    running = [holding for holding in ledger.holdings.values() if can_be_parked(holding)]
    running.sort(key=lambda holding: (holding.priority, holding.actual, holding.name))
    needed = short + int(ledger.capacity * SPARE_SHARE)
    victims = []
    while needed > 0 and len(running) > 1:
        victim = running.pop()
        victims.append(victim)
        needed -= victim.actual
    return victims


def can_be_parked(holding):
    """Return whether a holding is a running stream that can be parked."""
    if holding.parked or holding.parking:
        return False
    return holding.kind is HoldingKind.STREAM and holding.parkable and holding.actual > 0


def choose_resumed(ledger):
    """Return the parked holding that is next in line to be resumed.

    Return None if none is parked, or if there is not enough free memory to resume it.
    """
    holding = ledger.next_to_resume()
    if holding is None:
        return None
    return holding if holding.required <= ledger.free_tokens() else None
