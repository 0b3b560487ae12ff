"""Telling one crash of an endpoint from another, whoever reports it."""

from ..messages.control import LAST_LIFE


def same_crash(one, other):
    """Say whether two `Crash` records of one fingerprint describe the same crash.

    An endpoint's daemon numbers the lives of the endpoint; an entry that saw the daemon die
    with its endpoint only knows that it was the last one.  An attempt runs on one life only.

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
    """Return the records with those of the same crash merged, in a fixed order."""
    merged = []
    for crash in sorted(set(crashes), key=order):
        if not any(same_crash(crash, kept) for kept in merged):
            merged.append(crash)
    return tuple(merged)


def order(crash):
    """Return the key by which every daemon orders the records of a fingerprint alike."""
    return crash.life == LAST_LIFE, crash.endpoint, crash.run, crash.life, crash.attempts


def count_crashes(crashes):
    """Return the number of different crashes among the records."""
    return len(merge_crashes(crashes))
