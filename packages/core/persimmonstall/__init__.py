"""Decisions of the persimmonstall serving layer, free of sockets, clocks and randomness."""

__version__ = "0.1.0"
