"""Reconciliation of the models, adapters and roles of engines with the catalogue."""

from .reconciler import OrderReconciler
from .versions import WeightVersions
from .weights import WeightFetches

__all__ = ["OrderReconciler", "WeightFetches", "WeightVersions"]
