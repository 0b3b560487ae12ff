"""The task that keeps a daemon's verdicts, and the entry's filter."""

from .filter import QuarantineFilter
from .first_copy_gate import FirstCopyGate
from .manager import QuarantineManager

__all__ = ["FirstCopyGate", "QuarantineFilter", "QuarantineManager"]
