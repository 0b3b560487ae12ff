"""Membership of the fleet: known instances and endpoints, and those that are leaving."""

from .subset import subset_of
from .view import Source, View

__all__ = ["Source", "View", "subset_of"]
