"""Checked settings: INI sections read into attrs classes, all errors found in one go."""

from .loader import Problem, check, load, unreadable_files
from .schema import SECTIONS, Settings

__all__ = ["SECTIONS", "Problem", "Settings", "check", "load", "unreadable_files"]
