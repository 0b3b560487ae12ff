"""Organisations' limits at an entry, and the links between entries that carry their messages."""

from .peers import EntryPeers
from .task import Budgets

__all__ = ["Budgets", "EntryPeers"]
