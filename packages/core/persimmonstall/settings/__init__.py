"""Checked settings: INI sections read into attrs classes, all errors found in one go."""

from .schema import SECTIONS, Settings
from .view import Problem, check, load, unreadable_files

__all__ = ["SECTIONS", "Problem", "Settings", "check", "load", "unreadable_files"]
