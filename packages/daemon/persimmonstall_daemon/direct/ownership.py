"""Which entry owns a key: the limit of an endpoint, or the trials of a blocked part."""

from persimmonstall.membership import rendezvous

OWNER_SECONDS = 0.5
"""Time for which the owner of a key is remembered."""

MAX_OWNERS = 1024
"""Maximum number of owners that are remembered."""


class Ownership:
    """Finds the owner of a key by rendezvous hashing over the entries heard lately."""

    def __init__(self, entry, peers):
        self.entry = entry
        self.peers = peers
        self.owners = {}

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

    def owns(self, key):
        """Return whether this entry owns `key`."""
        return self.owner(key) == self.peers.address
