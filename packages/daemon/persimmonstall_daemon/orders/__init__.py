"""Tasks that bring engines to what the catalogue wants them to serve."""

from .reconciler import OrderKeeper
from .versions import Versions
from .weights import WeightFetches

__all__ = ["OrderKeeper", "Versions", "WeightFetches"]
