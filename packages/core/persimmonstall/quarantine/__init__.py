"""Content that crashes endpoints: suspects, which run apart, and quarantine."""

from .book import ContentStatus, VerdictStore
from .crashes import count_crashes

__all__ = ["ContentStatus", "VerdictStore", "count_crashes"]
