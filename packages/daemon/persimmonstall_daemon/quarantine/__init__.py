"""The task that keeps a daemon's verdicts, and the entry's filter."""

from .filter import QuarantineFilter
from .first_copy_gate import Flights
from .keeper import QuarantineKeeper

__all__ = ["Flights", "QuarantineFilter", "QuarantineKeeper"]
