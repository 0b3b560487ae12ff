"""Service-level objectives and their burn rates."""
