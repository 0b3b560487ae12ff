"""The persimmonstall command."""
