"""Bounded map from prompt blocks to the endpoints that probably have them cached.

The map learns from what was sent and is corrected by the engines' cache events, which are
late and have gaps.  Block hashes are chained, so a block
stands for the whole prefix up to it.  Only blocks at grid positions are kept: the cost of a
look-up or a record grows with the logarithm of the prompt.
"""

from collections import OrderedDict

MAX_BLOCKS = 65_536
"""Blocks that are remembered."""

MAX_OWNERS = 4
"""Endpoints that are remembered for one block, the latest ones."""

MAX_POSITIONS = 1 << 16
"""Blocks in the longest prompt that the grid covers."""


def grid_positions(most):
    """Return the ascending 0-based positions that are kept: steps of a third at most.

    >>> grid_positions(20)
    (0, 1, 2, 3, 4, 5, 6, 8, 10, 13, 17)
    """
    positions = []
    position = 0
    while position < most:
        positions.append(position)
        position += max(1, position // 3)
    return tuple(positions)


GRID = grid_positions(MAX_POSITIONS)


class PrefixMap:
    """Which endpoints probably hold which prefixes.

    >>> prefixes = PrefixMap()
    >>> prefixes.record("e1", (11, 12, 13))
    >>> prefixes.match((11, 12, 99))
    {'e1': 2}
    """

    def __init__(self, most_blocks=MAX_BLOCKS):
        self.most_blocks = most_blocks
        self.owners = OrderedDict()
        self.sequences = {}
        self.epochs = {}
        self.gaps = 0

    def record(self, endpoint, blocks):
        """Note that a prompt of `blocks` was sent to `endpoint`."""
        mark = (endpoint, self.epochs.get(endpoint, 0))
        # The first blocks are put last, so that a prefix outlives what follows it.
        for block in reversed(tuple(kept_blocks(blocks))):
            self.put(block, mark)
        while len(self.owners) > self.most_blocks:
            self.owners.popitem(last=False)

    def put(self, block, mark):
        """Make `mark` the latest owner of `block`."""
        owners = self.owners.get(block, ())
        if owners and owners[0] == mark:
            self.owners.move_to_end(block)
            return
        others = tuple(owner for owner in owners if owner[0] != mark[0])
        self.owners[block] = (mark, *others[: MAX_OWNERS - 1])
        self.owners.move_to_end(block)

    def match(self, blocks):
        """Return the number of leading blocks probably cached, by endpoint."""
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
        """Forget that `endpoint` holds `block`."""
        owners = self.owners.get(block)
        if owners is None:
            return
        left = tuple(owner for owner in owners if owner[0] != endpoint)
        if left:
            self.owners[block] = left
        else:
            del self.owners[block]

    def forget(self, endpoint):
        """Forget all that is known about `endpoint`, in constant time."""
        self.epochs[endpoint] = self.epochs.get(endpoint, 0) + 1

    def event(self, endpoint, event):
        """Apply a `CacheEvent`; a gap in its sequence forgets the endpoint's blocks.

        Returns whether the event followed the last one without a gap.
        """
        expected = self.sequences.get(endpoint)
        self.sequences[endpoint] = event.sequence + 1
        whole = expected is None or event.sequence == expected
        if not whole:
            self.gaps += 1
            self.forget(endpoint)
        for block in event.removed:
            self.drop(endpoint, block)
        mark = (endpoint, self.epochs.get(endpoint, 0))
        for block in event.added:
            if block in self.owners:
                self.put(block, mark)
        return whole


def kept_blocks(blocks):
    """Return the blocks at grid positions.

    >>> list(kept_blocks(range(8)))
    [0, 1, 2, 3, 4, 5, 6]
    """
    count = len(blocks)
    for position in GRID:
        if position >= count:
            return
        yield blocks[position]
