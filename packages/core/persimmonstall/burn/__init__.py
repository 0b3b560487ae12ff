"""Service-level burn: objectives, counts over several windows and burn rates."""

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
