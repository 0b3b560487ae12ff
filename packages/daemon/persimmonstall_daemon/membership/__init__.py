"""The task that keeps a daemon's view of the other instances."""

from .task import Membership

__all__ = ["Membership"]
