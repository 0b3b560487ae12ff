"""Settings: INI sections parsed into attrs classes, with all errors reported at once."""

from .loader import Problem, check, load, unreadable_files
from .schema import SECTIONS, Settings

__all__ = ["SECTIONS", "Problem", "Settings", "check", "load", "unreadable_files"]
