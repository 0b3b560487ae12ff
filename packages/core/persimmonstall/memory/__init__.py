"""Accounting of engine memory: reservations, parking under pressure, and long prompts."""
