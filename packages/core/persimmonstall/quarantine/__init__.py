"""Content that crashes endpoints: suspects, which run apart, and quarantine."""

from .crashes import count_crashes
from .verdict_store import ContentStatus, VerdictStore

__all__ = ["VerdictStore", "ContentStatus", "count_crashes"]
