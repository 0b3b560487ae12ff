"""Tasks that bring engines to what the catalogue wants them to serve."""

from .reconciler import OrderReconciler
from .versions import Versions
from .weights import WeightFetches

__all__ = ["OrderReconciler", "Versions", "WeightFetches"]
