"""Rendezvous hashing: daemons with the same list of members compute the same owner of a key.

When a member leaves, only the keys that it owned are reassigned.
"""

import math

import xxhash

HASH_SPAN = 2.0**64


def score(key, member):
    """Return the 64-bit rendezvous score of a member for a key.

    >>> score("acme", "e1") == score("acme", "e1") != score("acme", "e2")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def owner(key, members):
    """Return the member that owns `key`, None if there are no members.

    >>> owner("acme", ["e1", "e2"]) == owner("acme", ["e2", "e1"])
    True
    """
    return max(members, key=lambda member: score(key, member), default=None)


def weighted_score(key, member, weight):
    """Return a score by which members are chosen in proportion to their weights."""
    uniform = (score(key, member) + 1.0) / (HASH_SPAN + 2.0)
    return -weight / math.log(uniform)
