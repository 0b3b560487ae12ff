"""Content that crashes endpoints: suspects, which run apart, and quarantine."""

from .book import Book, ContentStatus
from .crashes import count_crashes

__all__ = ["Book", "ContentStatus", "count_crashes"]
