"""The suspected parts of prompts that stand out as causes of crashes, and which ones are alike."""

import itertools

import attrs

from .suspect import BLOCK_CRASHES


@attrs.frozen
class Trial:
    """The trial that a call with blocked parts needs; all calls about one group share its `key`.

    It is `telling` if the call lacks a part that the same crashes speak against as much: whether
    it is answered or crashes its endpoint, fewer parts are left.
    """

    key: str
    telling: bool


@attrs.frozen
class Culprits:
    """Parts with crashes that no stronger suspect explains, as the `groups` to which they belong.

    The parts of one group crashed together, so that their crashes do not tell them apart.
    """

    groups: dict = attrs.field(factory=dict)

    def __contains__(self, part):
        return part in self.groups

    def __iter__(self):
        return iter(self.groups)

    def group(self, part):
        """Return the group of a part; one that is no culprit is alone."""
        return self.groups.get(part, frozenset((part,)))

    def trial(self, parts):
        """Return the `Trial` that a call with `parts` needs, None if it gets none.

        A call without a complete group cannot hold the cause of all crashes of any.
        """
        groups = {self.groups[part] for part in parts if part in self}
        complete = [group for group in groups if group.issubset(parts)]
        if len(complete) > 1 or not groups:
            return None
        group = complete[0] if complete else min(groups, key=min)
        return Trial(min(group), telling=not complete)


def find_culprits(suspects):
    """Return the `Culprits` among `suspects`, a dict of parts to their `Suspect`s.

    Of suspects with as many crashes none explains those of another.
    """
    lifetimes = {part: suspect.lifetimes() for part, suspect in suspects.items()}
    unexplained = set().union(*lifetimes.values())
    groups = {}
    by_crashes = sorted(suspects, key=lambda part: -len(lifetimes[part]))
    for _, tied in itertools.groupby(by_crashes, key=lambda part: len(lifetimes[part])):
        found = [part for part in tied if suspects[part].stands_out(unexplained)]
        evidence = {part: lifetimes[part] & unexplained for part in found}
        for group in alike(evidence):
            groups |= dict.fromkeys(group, group)
        unexplained.difference_update(*evidence.values())
    return Culprits(groups)


def alike(evidence):
    """Return the groups of the parts in `evidence`, a dict of parts to crashed lifetimes.

    Parts that were blocked before a restart, so that nothing tells them apart, are alike.

    >>> found = alike({"a": {1, 2}, "b": {3, 4}, "c": {1, 2}, "d": set(), "e": set()})
    >>> sorted(map(sorted, found))
    [['a', 'c'], ['b'], ['d', 'e']]
    """
    groups = []
    for part, lifetimes in evidence.items():
        near = [
            group
            for group in groups
            if any(are_alike(lifetimes, evidence[other]) for other in group)
        ]
        groups = [group for group in groups if group not in near]
        groups.append(frozenset((part,)).union(*near))
    return groups


def are_alike(lifetimes, others):
    """Return whether two sets of crashed lifetimes don't tell apart the parts that they are of."""
    return len(lifetimes & others) >= BLOCK_CRASHES or not (lifetimes or others)
