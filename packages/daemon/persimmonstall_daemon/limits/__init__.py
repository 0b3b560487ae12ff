"""The task around the organisations' limits: sends asks to keepers and lends as one."""

from .peers import EntryPeers
from .task import Budgets

__all__ = ["Budgets", "EntryPeers"]
