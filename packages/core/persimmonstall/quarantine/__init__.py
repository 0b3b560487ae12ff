"""Detection and quarantine of content that crashes endpoints; suspects run in isolation."""

from .crashes import count_crashes
from .verdict_store import ContentStatus, VerdictStore

__all__ = ["ContentStatus", "VerdictStore", "count_crashes"]
