"""Content that crashes endpoints: suspects, which run apart, and quarantine."""

from .book import Book, Standing
from .crashes import count_crashes

__all__ = ["Book", "Standing", "count_crashes"]
