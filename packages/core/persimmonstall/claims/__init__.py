"""At most once: one row per idempotency key decides who runs non-idempotent work."""
