"""What operators set: organisations, models, services, placement and switches, by version."""

from .records import Adapter, DrainMark, Model, Organisation, Placement, QuarantineLift, Service
from .snapshot import Catalogue, Change

__all__ = [
    "Adapter",
    "Catalogue",
    "Change",
    "DrainMark",
    "Model",
    "Organisation",
    "Placement",
    "QuarantineLift",
    "Service",
]
