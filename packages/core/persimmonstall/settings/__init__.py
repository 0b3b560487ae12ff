"""Settings: INI sections parsed into attrs classes, with all errors reported at once."""

from .schema import SECTIONS, Settings
from .view import Problem, check, load, unreadable_files

__all__ = ["SECTIONS", "Problem", "Settings", "check", "load", "unreadable_files"]
