"""The versioned catalogue, which operators edit.

It holds organisations, models, adapters, services, placements, drain marks and quarantine lifts.
"""

from .editing import Accepted, Edit, Rejected
from .following import Following
from .records import Adapter, DrainMark, Model, Organisation, Placement, QuarantineLift, Service
from .snapshot import Catalogue, Change
from .validate import validate

__all__ = [
    "Accepted",
    "Adapter",
    "Catalogue",
    "Change",
    "DrainMark",
    "Edit",
    "Following",
    "Model",
    "Organisation",
    "Placement",
    "QuarantineLift",
    "Rejected",
    "Service",
    "validate",
]
