"""Which instances and endpoints are there, and which are leaving."""

from .subset import subset_of
from .view import MembershipView, Source

__all__ = ["Source", "MembershipView", "subset_of"]
