"""Adapters of the systems around persimmonstall: HTTP with JSON, one module each."""
