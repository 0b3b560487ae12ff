"""Which entry owns a key: the limit of an endpoint, or the trials of a blocked part."""

from persimmonstall.membership import rendezvous

OWNER_SECONDS = 0.5
"""Time for which the owner of a key is remembered."""

REMEMBERED_SECONDS = 120.0
"""Time for which the largest number of entries that were heard is remembered."""

STARTING_SECONDS = 1.0
"""Time after the start in which the others may not know this entry yet."""

PAIR = 2
"""Number of entries of which each may act alone: there are no more than two owners then."""

MAX_OWNERS = 1024
"""Maximum number of owners that are remembered."""


class Ownership:
    """Finds the owner of a key by rendezvous hashing over the entries heard lately."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.owners = {}
        self.started_at = entry.now()
        self.most_heard = 0
        self.most_heard_until = 0.0

    def owner(self, key):
        """Return the address of the entry that owns `key`."""
        now = self.entry.now()
        address, expires = self.owners.get(key, ("", now))
        if expires <= now:
            if len(self.owners) >= MAX_OWNERS:
                self.owners.clear()
            address = rendezvous.owner(key, self.members())
            self.owners[key] = (address, now + OWNER_SECONDS)
        return address

    def members(self):
        """Return the addresses of the entries that may own keys; those that stop may not."""
        members = [peer.address for peer in self.peers.active() if not peer.leaving]
        if not members or not self.entry.leaving:
            members.append(self.peers.address)
        return members

    def hears_most(self):
        """Return whether this entry hears so many others that no other part of them is larger.

        They are compared with all that are named now, and with the most that it heard lately, so
        that one that was cut off does not take itself for alone.  One that has just started waits
        until all others can know it.
        """
        self.record_heard()
        if self.entry.now() < self.started_at + STARTING_SECONDS:
            return False
        named = len(self.peers.peers) + len(self.peers.strangers.named)
        known = max(self.most_heard, named + 1)
        return known <= PAIR or 2 * (len(self.peers.active()) + 1) > known

    def record_heard(self):
        """Record how many entries were heard, this one included."""
        now, peers = self.entry.now(), self.peers.peers.values()
        heard = sum(peer.last_heard is not None for peer in peers) + 1
        if heard >= self.most_heard or now > self.most_heard_until:
            self.most_heard = heard
            self.most_heard_until = now + REMEMBERED_SECONDS

    def owns(self, key):
        """Return whether this entry owns `key`."""
        return self.owner(key) == self.peers.address
