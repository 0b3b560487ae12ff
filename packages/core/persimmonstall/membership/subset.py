"""Bounded subset of endpoint daemons for each entry, with balanced coverage.

Each daemon is covered by the same number of entries, chosen by weighted rendezvous hashing
with a bound on how many daemons one entry takes.  Entries of the daemon's own data centre are
preferred; at least one entry elsewhere covers it too, if there is one.  All entries work out
the same table from the same list, and a replaced instance moves little else.
"""

import math

from .rendezvous import weighted_score

NEAR_WEIGHT = 4.0
"""Weight of an entry in the daemon's data centre; others have 1."""

SLACK = 1.25
"""An entry takes at most this many times its even part of all coverage."""


def coverage(subset, entries, daemons):
    """Return by how many entries each daemon is covered.

    >>> coverage(subset=64, entries=40, daemons=370), coverage(64, 2, 3)
    (7, 2)
    """
    wanted = math.ceil(subset * entries / max(1, daemons))
    return max(1, min(entries, wanted))


def assign(entries, daemons, subset):
    """Return the daemons of each entry as a dict of entry name to list of daemon names.

    `entries` and `daemons` are `Instance`s; `subset` is the size aimed at.
    """
    taken = {entry.name: [] for entry in entries}
    if not entries:
        return taken
    cover = coverage(subset, len(entries), len(daemons))
    bound = math.ceil(SLACK * cover * len(daemons) / len(entries))
    for daemon in sorted(daemons, key=lambda one: one.name):
        for entry in pick(entries, daemon, cover, taken, bound):
            taken[entry.name].append(daemon.name)
    return taken


def pick(entries, daemon, cover, taken, bound):
    """Return the `cover` entries that take a daemon."""
    ranked = sorted(entries, key=lambda entry: rank(daemon, entry), reverse=True)
    free = [entry for entry in ranked if len(taken[entry.name]) < bound]
    chosen = free[:cover]
    if len(chosen) < 2 or any(entry.data_centre != daemon.data_centre for entry in chosen):
        return chosen
    away = next((one for one in free if one.data_centre != daemon.data_centre), None)
    return chosen if away is None else [*chosen[:-1], away]


def rank(daemon, entry):
    """Return the score of an entry for a daemon."""
    near = entry.data_centre == daemon.data_centre
    return weighted_score(daemon.name, entry.name, NEAR_WEIGHT if near else 1.0)


def subset_of(name, entries, daemons, subset, groups=None, least=2):
    """Return the daemons that the entry `name` keeps links to, as a list of `Instance`.

    `groups` maps a daemon's name to what it serves (models, services).  Of each group the
    entry has at least `least` daemons, if there are as many.
    """
    if len(daemons) <= subset:
        return list(daemons)
    chosen = set(assign(entries, daemons, subset).get(name, ()))
    chosen |= missing_of_groups(name, daemons, chosen, groups or {}, least)
    return [daemon for daemon in daemons if daemon.name in chosen]


def missing_of_groups(name, daemons, chosen, groups, least):
    """Return the daemons to add so that each group has `least` of them."""
    added = set()
    for group in sorted({label for labels in groups.values() for label in labels}):
        serving = [one for one in daemons if group in groups.get(one.name, ())]
        have = sum(1 for one in serving if one.name in chosen | added)
        rest = [one for one in serving if one.name not in chosen | added]
        rest.sort(key=lambda one: weighted_score(name, one.name, 1.0), reverse=True)
        added.update(one.name for one in rest[: max(0, least - have)])
    return added
