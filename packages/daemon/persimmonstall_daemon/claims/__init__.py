"""The claim protocol's I/O: the entry's filter, the endpoint's side and the cleaner."""

from .cleaner import ClaimCleaner
from .filter import ClaimFilter
from .manager import ClaimManager, HeldClaim

__all__ = ["ClaimCleaner", "ClaimFilter", "ClaimManager", "HeldClaim"]
