"""Choice of the streams to park when an engine runs short of memory, and to resume later.

Low-priority streams are parked first, and among these the longest, which frees the most memory
at the expense of the least urgent work.  One stream always keeps running, and every stream fits
into the engine alone, so some stream always finishes and frees memory: there is no deadlock.
"""

from .ledger import AllocationKind

GROWTH_PER_STREAM = 64
"""Allowance in tokens for the growth of a stream while others are being parked."""

SPARE_SHARE = 0.05
"""Fraction of the engine's memory that parking frees beyond the shortage."""


def shortage(ledger):
    """Return the tokens by which the engine will soon exceed its capacity, 0 if it will not.

    >>> from ..invariants import Invariants
    >>> from .ledger import Allocation, Ledger
    >>> ledger = Ledger(Invariants(strict=True), capacity=1000)
    >>> stream = AllocationKind.STREAM
    >>> _ = ledger.add(Allocation("a", "d", stream, 900, 900, 2000, 9.0, job_id="j"))
    >>> ledger.grow("a", 990)
    >>> shortage(ledger)
    54
    """
    upper_bound = (
        ledger.in_use + ledger.unowned_tokens + len(ledger.allocations) * GROWTH_PER_STREAM
    )
    if not ledger.capacity or upper_bound <= ledger.capacity:
        return 0
    staying = [
        allocation
        for allocation in ledger.allocations.values()
        if not allocation.parked and not allocation.parking
    ]
    projected = ledger.unowned_tokens + sum(
        allocation.actual + GROWTH_PER_STREAM for allocation in staying
    )
    return max(0, projected - ledger.capacity)


def choose_victims(ledger):
    """Return the allocations to park now, least urgent first; empty if there is no shortage."""
    short = shortage(ledger)
    if not short:
        return []
    running = [
        allocation for allocation in ledger.allocations.values() if can_be_parked(allocation)
    ]
    running.sort(key=lambda allocation: (allocation.priority, allocation.actual, allocation.name))
    needed = short + int(ledger.capacity * SPARE_SHARE)
    victims = []
    while needed > 0 and len(running) > 1:
        victim = running.pop()
        victims.append(victim)
        needed -= victim.actual
    return victims


def can_be_parked(allocation):
    """Return whether an allocation is a running stream that can be parked."""
    if allocation.parked or allocation.parking:
        return False
    return (
        allocation.kind is AllocationKind.STREAM and allocation.parkable and allocation.actual > 0
    )


def choose_resumed(ledger):
    """Return the parked allocation that is next in line to be resumed.

    Return None if none is parked, or if there is not enough free memory to resume it.
    """
    allocation = ledger.next_to_resume()
    if allocation is None:
        return None
    return allocation if allocation.required <= ledger.free_tokens() else None
