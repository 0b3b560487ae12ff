"""The tasks around the claim protocol: the entry's filter and the endpoint's keeper."""

from .filter import ClaimFilter
from .keeper import ClaimKeeper, Won

__all__ = ["ClaimFilter", "ClaimKeeper", "Won"]
