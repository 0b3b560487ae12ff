"""Reconciliation of the models and roles of engines with the catalogue."""

from .keeper import OrderKeeper
from .versions import Versions
from .weights import WeightFetches

__all__ = ["OrderKeeper", "Versions", "WeightFetches"]
