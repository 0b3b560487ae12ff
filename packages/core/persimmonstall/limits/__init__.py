"""Organisations' limits, shared between entries without a coordination service."""

from .fairness import FairShare
from .keeper import BudgetOwner
from .limiter import Charge, Limiter, Short

__all__ = ["BudgetOwner", "Charge", "FairShare", "Limiter", "Short"]
