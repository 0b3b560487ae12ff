"""Manages the memory of one engine: ledger, reconciliation, parking, reservations."""
