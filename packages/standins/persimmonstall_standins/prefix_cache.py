"""Prefix cache of the stand-in engine: blocks of prompts, evicted least recently used first."""

import attrs


@attrs.define
class PrefixCache:
    """Cached blocks by hash: `pins` counts the jobs that use a block, `idle` has the unused ones.

    `idle` is in the order of eviction.  `added` and `removed` collect the changes that have
    not been published yet.
    """

    pins: dict = attrs.field(factory=dict)
    idle: dict = attrs.field(factory=dict)
    added: list = attrs.field(factory=list)
    removed: list = attrs.field(factory=list)

    def matched(self, blocks):
        """Return how many leading blocks are cached.

        >>> cache = PrefixCache()
        >>> cache.pin((1, 2))
        >>> cache.matched((1, 2, 3)), cache.matched((2,)), cache.matched((3, 1))
        (2, 1, 0)
        """
        count = 0
        for block in blocks:
            if block not in self.pins and block not in self.idle:
                break
            count += 1
        return count

    def pin(self, blocks):
        """Protect `blocks` from eviction while a job uses them."""
        for block in blocks:
            pin_count = self.pins.get(block, 0)
            # `pop` returns `self` as a sentinel if the block was not cached.
            if not pin_count and self.idle.pop(block, self) is self:
                self.added.append(block)
            self.pins[block] = pin_count + 1

    def unpin(self, blocks):
        """Undo one `pin` of `blocks`; unused blocks stay cached until evicted."""
        for block in blocks:
            pin_count = self.pins.pop(block) - 1
            if pin_count:
                self.pins[block] = pin_count
            else:
                self.idle[block] = None

    def trim(self, limit):
        """Evict the least recently used idle blocks until `limit` are left."""
        while len(self.idle) > max(0, limit):
            block = next(iter(self.idle))
            del self.idle[block]
            self.removed.append(block)

    def take_changes(self):
        """Return the (added, removed) blocks since the last call."""
        changes = tuple(self.added), tuple(self.removed)
        self.added.clear()
        self.removed.clear()
        return changes
