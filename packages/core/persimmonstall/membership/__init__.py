"""Membership of the fleet: known instances and endpoints, and those that are leaving."""

from .subset import subset_of
from .view import MembershipView, Source

__all__ = ["MembershipView", "Source", "subset_of"]
