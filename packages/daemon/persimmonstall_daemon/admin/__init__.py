"""Operators administer the system through this gRPC service."""
