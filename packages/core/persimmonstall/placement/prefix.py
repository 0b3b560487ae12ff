"""Bounded map from prompt blocks to the endpoints that probably have them cached.

The map is filled from the prompts sent and corrected by the engines' cache events, which are
delayed and can have gaps.  Block hashes are chained, so that a hash identifies the whole prefix
up to its block.  Only blocks at grid positions are stored, so that the cost of a look-up or an
update grows with the logarithm of the prompt length.
"""

from collections import OrderedDict

MAX_BLOCKS = 65_536
"""Largest number of blocks in the map."""

MAX_OWNERS = 4
"""Largest number of endpoints per block; the latest ones are kept."""

MAX_POSITIONS = 1 << 16
"""Length, in blocks, of the longest prompt that the grid covers."""


def grid_positions(limit):
    """Return the grid positions below `limit`, from 0; gaps are 1 or a third of the position.

    >>> grid_positions(20)
    (0, 1, 2, 3, 4, 5, 6, 8, 10, 13, 17)
    """
    positions = []
    position = 0
    while position < limit:
        positions.append(position)
        position += max(1, position // 3)
    return tuple(positions)


GRID = grid_positions(MAX_POSITIONS)


class PrefixMap:
    """Maps prefixes to the endpoints that probably have them cached.

    >>> prefixes = PrefixMap()
    >>> prefixes.record("e1", (11, 12, 13))
    >>> prefixes.match((11, 12, 99))
    {'e1': 2}
    """

    def __init__(self, max_blocks=MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.owners = OrderedDict()
        self.sequences = {}
        self.epochs = {}
        self.gaps = 0

    def record(self, endpoint, blocks):
        """Record that a prompt of `blocks` was sent to `endpoint`."""
        endpoint_epoch = (endpoint, self.epochs.get(endpoint, 0))
        # In reverse, so that the first blocks become the most recently used and a prefix is
        # evicted after its continuations.
        for block in reversed(tuple(grid_blocks(blocks))):
            self.set_owner(block, endpoint_epoch)
        while len(self.owners) > self.max_blocks:
            self.owners.popitem(last=False)

    def set_owner(self, block, endpoint_epoch):
        """Make an endpoint, given with its epoch, the latest owner of `block`."""
        owners = self.owners.get(block, ())
        if owners and owners[0] == endpoint_epoch:
            self.owners.move_to_end(block)
            return
        others = tuple(owner for owner in owners if owner[0] != endpoint_epoch[0])
        self.owners[block] = (endpoint_epoch, *others[: MAX_OWNERS - 1])
        self.owners.move_to_end(block)

    def match(self, blocks):
        """Return the number of leading blocks that are probably cached, by endpoint."""
        found = {}
        owners_of = self.owners
        epochs = self.epochs
        count = len(blocks)
        for position in GRID:
            if position >= count:
                break
            owners = owners_of.get(blocks[position])
            if owners is None:
                break
            for endpoint, epoch in owners:
                if epochs.get(endpoint, 0) == epoch:
                    found[endpoint] = position + 1
        return found

    def drop(self, endpoint, block):
        """Remove `endpoint` from the owners of `block`."""
        owners = self.owners.get(block)
        if owners is None:
            return
        left = tuple(owner for owner in owners if owner[0] != endpoint)
        if left:
            self.owners[block] = left
        else:
            del self.owners[block]

    def forget(self, endpoint):
        """Invalidate all entries of `endpoint` in constant time, by a new epoch."""
        self.epochs[endpoint] = self.epochs.get(endpoint, 0) + 1

    def event(self, endpoint, event):
        """Apply a `CacheEvent`; a gap in the sequence invalidates the endpoint's entries.

        Return whether the event followed the last one without a gap.
        """
        expected = self.sequences.get(endpoint)
        self.sequences[endpoint] = event.sequence + 1
        contiguous = expected is None or event.sequence == expected
        if not contiguous:
            self.gaps += 1
            self.forget(endpoint)
        for block in event.removed:
            self.drop(endpoint, block)
        endpoint_epoch = (endpoint, self.epochs.get(endpoint, 0))
        for block in event.added:
            if block in self.owners:
                self.set_owner(block, endpoint_epoch)
        return contiguous


def grid_blocks(blocks):
    """Return the blocks at grid positions.

    >>> list(grid_blocks(range(8)))
    [0, 1, 2, 3, 4, 5, 6]
    """
    count = len(blocks)
    for position in GRID:
        if position >= count:
            return
        yield blocks[position]
