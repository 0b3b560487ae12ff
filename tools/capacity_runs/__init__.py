"""Measurements for docs/CAPACITY.md."""
