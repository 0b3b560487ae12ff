"""Quarantine of content that crashes engines: a daemon's verdicts and the entry's filter."""

from .filter import QuarantineFilter
from .flights import Flights
from .keeper import QuarantineKeeper

__all__ = ["Flights", "QuarantineFilter", "QuarantineKeeper"]
