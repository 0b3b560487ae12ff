"""Replication of the catalogue: a follower in each daemon, a store for operators' changes."""

from .follower import CatalogueFollower
from .peers import CataloguePeers, NoPeers
from .store import CatalogueStore

__all__ = ["CatalogueFollower", "CataloguePeers", "CatalogueStore", "NoPeers"]
