"""Predicted use of engine memory and the ledger of who holds it."""
