"""Deduplication of crash records that different daemons report about one endpoint."""

from ..messages.control import LAST_LIFE


def same_crash(one, other):
    """Return whether two `Crash` records of one fingerprint describe the same crash.

    An endpoint's daemon numbers the lives of the endpoint, which end with a crash.  An entry
    that lost the daemon together with its endpoint only knows that it was the last life.  Since
    an attempt runs on one life only, records with a common attempt are of the same crash.

    >>> from ..messages.control import Crash
    >>> seen = Crash("e1", "run", LAST_LIFE, ("r1/1",))
    >>> same_crash(Crash("e1", "run", 3, ("r1/1", "r2/1")), seen)
    True
    >>> same_crash(Crash("e1", "run", 3, ("r2/1",)), seen)
    False
    """
    if (one.endpoint, one.run) != (other.endpoint, other.run):
        return False
    return one.life == other.life or not set(one.attempts).isdisjoint(other.attempts)


def merge_crashes(crashes):
    """Return one record for each crash, in an order that all daemons agree on."""
    merged = []
    for crash in sorted(set(crashes), key=sort_key):
        if not any(same_crash(crash, kept) for kept in merged):
            merged.append(crash)
    return tuple(merged)


def sort_key(crash):
    """Return the sort key of the records, so that every daemon keeps the same ones."""
    return crash.life == LAST_LIFE, crash.endpoint, crash.run, crash.life, crash.attempts


def count_crashes(crashes):
    """Return the number of distinct crashes among the records."""
    return len(merge_crashes(crashes))
