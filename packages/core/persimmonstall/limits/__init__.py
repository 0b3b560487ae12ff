"""Organisations' limits, shared between entries without a coordination service."""

from .budget_owner import BudgetOwner
from .fairness import FairShare
from .limiter import Charge, Limiter, Short

__all__ = ["BudgetOwner", "Charge", "FairShare", "Limiter", "Short"]
