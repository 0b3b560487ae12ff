"""In-memory stand-in for the platform's list of instances."""

import asyncio

import attrs

from persimmonstall.outside.instances import InstanceList, InstanceState

from .faults import FaultyStore

LIST_LAG = 2.0
"""Delay until a heartbeat is visible in the list, in seconds."""

HEARTBEAT_EXPIRY = 10.0
"""Time after the last heartbeat at which an instance is removed from the list, in seconds."""


class MemoryInstances(FaultyStore, InstanceList):
    """A delayed list; `history` maps names to lists of (time, `Instance`), oldest first."""

    def __init__(self, lag=LIST_LAG, expiry=HEARTBEAT_EXPIRY, faults=None, **options):
        super().__init__(faults, name="instances", **options)
        self.lag = lag
        self.expiry = expiry
        self.history = {}
        self.leaving = set()

    async def list(self, timeout):
        """Return a tuple of `Instance`, or a `Failure`."""
        return await self.run_read("list", self.list_now, timeout)

    async def register(self, instance, timeout):
        """Record a heartbeat of `instance` with its state; return True or a `Failure`."""
        return await self.run_write("register", lambda: self.register_now(instance), timeout)

    def list_now(self):
        """Return the instances as they were `lag` seconds ago."""
        at = asyncio.get_running_loop().time() - self.lag
        visible = (self.instance_at(name, at) for name in sorted(self.history))
        return tuple(instance for instance in visible if instance)

    def instance_at(self, name, at):
        """Return the instance `name` as it was at time `at`, or None if absent or expired."""
        known = [entry for entry in self.history[name] if entry[0] <= at]
        if not known or known[-1][0] < at - self.expiry:
            return None
        return known[-1][1]

    def register_now(self, instance):
        """Record a heartbeat and drop history older than the lag needs."""
        now = asyncio.get_running_loop().time()
        if instance.name in self.leaving:
            instance = attrs.evolve(instance, state=InstanceState.LEAVING)
        entries = self.history.setdefault(instance.name, [])
        entries.append((now, instance))
        while len(entries) > 1 and entries[1][0] <= now - self.lag:
            entries.pop(0)
        return True

    def mark_leaving(self, name):
        """Mark the instance `name` as leaving: the platform is about to stop it."""
        self.leaving.add(name)
        entries = self.history.get(name)
        if entries:
            self.register_now(entries[-1][1])

    def remove(self, name):
        """Remove `name` from the list at once, as after the machine was replaced."""
        self.leaving.discard(name)
        self.history.pop(name, None)
