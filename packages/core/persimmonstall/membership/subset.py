"""Subset of the endpoint daemons that each entry connects to, bounded and balanced.

Each daemon is assigned to the same number of entries by weighted rendezvous hashing with bounded
loads.  Entries in the daemon's data centre are preferred, but at least one entry is in another
data centre, if there is one.  Entries with the same list compute the same assignment, and the
replacement of an instance changes few other assignments.
"""

import math

from .rendezvous import weighted_score

SAME_CENTRE_WEIGHT = 4.0
"""Weight of an entry in the daemon's data centre; other entries have weight 1."""

MAX_LOAD_FACTOR = 1.25
"""Largest load of an entry, as a multiple of the mean number of daemons for each entry."""


def entries_per_daemon(subset, entries, daemons):
    """Return the number of entries that each daemon is assigned to.

    >>> entries_per_daemon(subset=64, entries=40, daemons=370), entries_per_daemon(64, 2, 3)
    (7, 2)
    """
    wanted = math.ceil(subset * entries / max(1, daemons))
    return max(1, min(entries, wanted))


def assign(entries, daemons, subset):
    """Return a dict from the name of each entry to the list of its daemons' names.

    `entries` and `daemons` are `Instance`s; `subset` is the target number of daemons per entry.
    """
    assigned = {entry.name: [] for entry in entries}
    if not entries:
        return assigned
    entry_count = entries_per_daemon(subset, len(entries), len(daemons))
    max_daemons = math.ceil(MAX_LOAD_FACTOR * entry_count * len(daemons) / len(entries))
    for daemon in sorted(daemons, key=lambda one: one.name):
        for entry in choose_entries(entries, daemon, entry_count, assigned, max_daemons):
            assigned[entry.name].append(daemon.name)
    return assigned


def choose_entries(entries, daemon, entry_count, assigned, max_daemons):
    """Return up to `entry_count` entries for a daemon, those that it prefers most.

    Entries that already have `max_daemons` daemons are left out.  If two or more are chosen and
    all are in the daemon's data centre, the last one is replaced by the most preferred available
    entry in another data centre, if there is one.
    """
    ranked = sorted(entries, key=lambda entry: affinity(daemon, entry), reverse=True)
    available = [entry for entry in ranked if len(assigned[entry.name]) < max_daemons]
    chosen = available[:entry_count]
    if len(chosen) < 2 or any(entry.data_centre != daemon.data_centre for entry in chosen):
        return chosen
    remote = next((one for one in available if one.data_centre != daemon.data_centre), None)
    return chosen if remote is None else [*chosen[:-1], remote]


def affinity(daemon, entry):
    """Return the score by which a daemon prefers an entry."""
    same_centre = entry.data_centre == daemon.data_centre
    return weighted_score(daemon.name, entry.name, SAME_CENTRE_WEIGHT if same_centre else 1.0)


def subset_of(name, entries, daemons, subset, groups=None, minimum=2):
    """Return the daemons that the entry `name` keeps links to, as a list of `Instance`s.

    `groups` maps the name of a daemon to the models and services that it serves.  The result has
    at least `minimum` daemons for each model and service, if there are that many.
    """
    if len(daemons) <= subset:
        return list(daemons)
    chosen = set(assign(entries, daemons, subset).get(name, ()))
    chosen |= daemons_for_groups(name, daemons, chosen, groups or {}, minimum)
    return [daemon for daemon in daemons if daemon.name in chosen]


def daemons_for_groups(name, daemons, chosen, groups, minimum):
    """Return the names of daemons to add so that each group has at least `minimum`."""
    added = set()
    for group in sorted({label for labels in groups.values() for label in labels}):
        serving = [one for one in daemons if group in groups.get(one.name, ())]
        covered = sum(1 for one in serving if one.name in chosen | added)
        candidates = [one for one in serving if one.name not in chosen | added]
        candidates.sort(key=lambda one: weighted_score(name, one.name, 1.0), reverse=True)
        added.update(one.name for one in candidates[: max(0, minimum - covered)])
    return added
