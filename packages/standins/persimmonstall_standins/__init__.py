"""Test doubles of the systems that persimmonstall depends on; for tests only."""
