"""Retry budget, retry delays with jitter, and detection of late attempts."""
