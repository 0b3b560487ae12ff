"""The task that keeps a daemon's verdicts, and the entry's filter."""

from .filter import QuarantineFilter
from .keeper import QuarantineKeeper

__all__ = ["QuarantineFilter", "QuarantineKeeper"]
