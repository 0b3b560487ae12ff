"""Measurements behind docs/CAPACITY.md."""
