"""Membership of a daemon: its view of the other instances and of leaving endpoints."""

from .leaving import LeavingTracker
from .task import Membership

__all__ = ["LeavingTracker", "Membership"]
