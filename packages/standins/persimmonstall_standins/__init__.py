"""Stand-ins for the systems around persimmonstall; for tests only."""
