"""Detection and quarantine of content that crashes endpoints; suspects run in isolation."""

from .book import Book, Standing
from .crashes import count_crashes

__all__ = ["Book", "Standing", "count_crashes"]
