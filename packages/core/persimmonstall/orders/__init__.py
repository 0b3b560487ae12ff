"""Orders to engines: desired state, next order, and the lease to send orders."""

from .desired import Artifact, Desired, desired_of
from .lease import Hold, LeaseRow, Take, Wait, decide
from .plan import Loaded, OrderStep, loaded_of, next_step

__all__ = [
    "Artifact",
    "Desired",
    "Hold",
    "LeaseRow",
    "Loaded",
    "OrderStep",
    "Take",
    "Wait",
    "decide",
    "desired_of",
    "loaded_of",
    "next_step",
]
