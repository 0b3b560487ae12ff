"""Followers and stores around one table in one event loop, for the tests of the catalogue."""

import asyncio
from random import Random

from persimmonstall.catalogue import Model
from persimmonstall.clock import Context
from persimmonstall.failures import Failure, Reason
from persimmonstall.invariants import Invariants
from persimmonstall.settings import Settings
from persimmonstall_daemon.catalogue import CatalogueFollower, CataloguePeers, CatalogueStore
from persimmonstall_standins.objects import MemoryObjects
from persimmonstall_standins.table import MemoryTable

PEER_DELAY = 0.002


class SitePeers(CataloguePeers):
    """Queries the other followers of the site directly, unless `cut` is set."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.cut = False

    async def request(self, message, peer=""):
        await asyncio.sleep(PEER_DELAY)
        others = [one for name, one in self.site.followers.items() if name != self.name]
        if self.cut or not others:
            return Failure(Reason.PEER_LOST, "catalogue_ask")
        return max((one.changes_for(message) for one in others), key=lambda answer: answer.version)


class Site:
    """Followers by name that share a table; a follower may get its own access path to it."""

    def __init__(self, seed=1):
        self.seed = seed
        self.settings = Settings()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.followers = {}
        self.tasks = {}

    def context(self, salt):
        loop = asyncio.get_running_loop()
        return Context(loop.time, loop.time, Random(f"{self.seed}/{salt}"))

    def follow(self, name, table=None, peers=None):
        """Start a follower and replace the running one of the same name."""
        self.kill(name)
        follower = CatalogueFollower(
            self.settings,
            table or self.table,
            self.objects,
            self.context(name),
            peers or SitePeers(self, name),
            Invariants(strict=True),
        )
        self.followers[name] = follower
        self.tasks[name] = asyncio.create_task(follower.run())
        return follower

    def kill(self, name):
        if name in self.tasks:
            self.tasks.pop(name).cancel()
            del self.followers[name]

    def store(self, name, store_class=CatalogueStore, table=None):
        """Return a store that uses the follower of this name."""
        follower = self.followers[name]
        return store_class(self.settings, table or self.table, self.context(f"s{name}"), follower)

    def gossip(self):
        """Report the newest version to every follower, as peers' messages do."""
        newest = max(one.version for one in self.followers.values())
        for name, follower in self.followers.items():
            if not follower.peers.cut:
                follower.note_version(newest, "peer" if name else "")

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


def model(version):
    return Model("m", version=str(version))
