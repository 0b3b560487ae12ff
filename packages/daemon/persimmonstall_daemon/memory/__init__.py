"""Keeps one engine's memory: ledger, comparison with the engine, parking, reservations."""
