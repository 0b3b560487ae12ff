"""At-most-once execution: a table row per idempotency key decides who runs the work."""
