"""Orders to engines: desired state, next order, and the lease to send orders."""

from .desired import Artifact, DesiredState, desired_of
from .lease import AcquireLease, HeldLease, LeaseRow, WaitForLease, plan_acquisition
from .plan import LoadedState, OrderStep, loaded_of, next_step

__all__ = [
    "AcquireLease",
    "Artifact",
    "DesiredState",
    "HeldLease",
    "LeaseRow",
    "LoadedState",
    "OrderStep",
    "WaitForLease",
    "desired_of",
    "loaded_of",
    "next_step",
    "plan_acquisition",
]
