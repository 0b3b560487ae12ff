"""What operators set: organisations, models, services, placement and switches, by version."""

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
    "SyncState",
    "Model",
    "Organisation",
    "Placement",
    "QuarantineLift",
    "Rejected",
    "Service",
    "validate",
]
