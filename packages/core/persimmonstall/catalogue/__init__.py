"""The versioned catalogue, which operators edit.

It holds organisations, models, adapters, services, placements, drain marks and quarantine lifts.
"""

from .editing import Accepted, Edit, Rejected
from .records import Adapter, DrainMark, Model, Organisation, Placement, QuarantineLift, Service
from .snapshot import Catalogue, Change
from .sync_state import SyncState
from .validate import validate

__all__ = [
    "Accepted",
    "Adapter",
    "Catalogue",
    "Change",
    "DrainMark",
    "Edit",
    "Model",
    "Organisation",
    "Placement",
    "QuarantineLift",
    "Rejected",
    "Service",
    "SyncState",
    "validate",
]
