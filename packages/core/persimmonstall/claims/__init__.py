"""At-most-once execution: one row for each idempotency key is the only judge."""
