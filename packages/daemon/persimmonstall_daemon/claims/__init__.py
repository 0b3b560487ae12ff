"""The tasks around the claim protocol: the entry's filter and the endpoint's keeper."""

from .cleaner import ClaimCleaner
from .filter import ClaimFilter
from .manager import ClaimKeeper, Won

__all__ = ["ClaimCleaner", "ClaimFilter", "ClaimKeeper", "Won"]
