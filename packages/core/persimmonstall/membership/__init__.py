"""Which instances and endpoints are there, and which are leaving."""

from .subset import subset_of
from .view import Source, View

__all__ = ["Source", "View", "subset_of"]
