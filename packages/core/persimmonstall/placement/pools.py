"""Pools of the endpoints that can serve the same work."""

import zlib

import attrs


@attrs.define(eq=False)
class Pool:
    """The usable endpoints of a model, a model with an adapter, or a service.

    `reserved` are those reserved for short prompts, `common` all others; every entry makes the
    same choice.
    """

    members: list = attrs.field(factory=list)
    common: list = attrs.field(factory=list)
    reserved: list = attrs.field(factory=list)


def pool_key(work):
    """Return the key of the pool that can serve `work`."""
    if work.service:
        return ("service", work.service)
    return ("model", work.model, work.adapter)


def stable_rank(name):
    """Return a pseudo-random sort key of an endpoint that is the same at every entry."""
    return zlib.crc32(name.encode())


class Pools:
    """The pools by key; `settings` is the root of the settings."""

    def __init__(self, settings):
        self.settings = settings
        self.by_key = {}

    def keys_of(self, state):
        """Return the keys of the pools that an endpoint belongs to."""
        keys = [("service", name) for name in state.services]
        for model in state.models:
            keys.append(("model", model, ""))
            keys.extend(("model", model, adapter) for adapter in state.adapters)
        return keys

    def remove(self, state):
        """Remove an endpoint from its pools."""
        for key in self.keys_of(state):
            pool = self.by_key.get(key)
            if pool is not None and state in pool.members:
                pool.members.remove(state)
                self.choose_reserved(pool)

    def update(self, state):
        """Add an endpoint to its pools if it is usable, else remove it."""
        self.remove(state)
        if not state.usable:
            return
        for key in self.keys_of(state):
            pool = self.by_key.setdefault(key, Pool())
            pool.members.append(state)
            pool.members.sort(key=lambda member: (stable_rank(member.name), member.name))
            self.choose_reserved(pool)

    def choose_reserved(self, pool):
        """Choose the members that are reserved for short prompts."""
        placing = self.settings.placing
        count = len(pool.members)
        reserved = min(round(placing.short_share * count), count - 1)
        pool.common = pool.members[: count - reserved] if reserved > 0 else pool.members
        pool.reserved = pool.members[count - reserved :] if reserved > 0 else []
        for number, state in enumerate(pool.members):
            state.reserved = number >= len(pool.common)
