"""Burn rates of the service-level objectives, counted over several windows."""

from .counts import WindowCount
from .objectives import Objective, RequestResult
from .recorder import BurnRecorder
from .report import BurnRow, BurnState, merge

__all__ = [
    "BurnRecorder",
    "BurnRow",
    "BurnState",
    "Objective",
    "RequestResult",
    "WindowCount",
    "merge",
]
