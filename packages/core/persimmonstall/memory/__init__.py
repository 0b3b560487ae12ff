"""Accounting of engine memory: reservations, parking, and long prompts.

Parking exports a stream's memory from an engine that runs short; the stream is resumed later.
"""
