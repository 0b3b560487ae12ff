"""The tasks that keep a daemon's view of the other instances and of leaving."""

from .leaving import LeavingTracker
from .task import Membership

__all__ = ["LeavingTracker", "Membership"]
