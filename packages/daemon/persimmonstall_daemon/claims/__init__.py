"""The tasks around the claim protocol: the entry's filter and the endpoint's keeper."""

from .cleaner import ClaimCleaner
from .filter import ClaimFilter
from .manager import ClaimManager, Won

__all__ = ["ClaimCleaner", "ClaimFilter", "ClaimManager", "Won"]
