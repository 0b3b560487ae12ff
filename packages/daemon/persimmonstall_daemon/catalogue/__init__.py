"""Tasks that keep the catalogue: the follower in every daemon, the store beside operators."""

from .follower import CatalogueFollower
from .peers import NoPeers, Peers
from .store import CatalogueStore

__all__ = ["CatalogueFollower", "CatalogueStore", "NoPeers", "Peers"]
