"""Organisations' rate and concurrency limits, shared by the entries without a central service."""

from .budget_owner import BudgetOwner
from .fairness import FairShare
from .limiter import Charge, InsufficientBudget, Limiter

__all__ = ["BudgetOwner", "Charge", "FairShare", "InsufficientBudget", "Limiter"]
