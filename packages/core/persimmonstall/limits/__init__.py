"""Organisations' rate and concurrency limits, shared by the entries without a central service."""

from .fairness import FairShare
from .keeper import Keeper
from .limiter import Charge, Limiter, Short

__all__ = ["Charge", "FairShare", "Keeper", "Limiter", "Short"]
