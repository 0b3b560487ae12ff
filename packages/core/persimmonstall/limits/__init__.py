"""Organisations' limits, shared between entries without a coordination service."""

from .fairness import FairShare
from .keeper import Keeper
from .limiter import Charge, Limiter, Short

__all__ = ["Charge", "FairShare", "Keeper", "Limiter", "Short"]
