"""The pipeline filters, one per module."""
