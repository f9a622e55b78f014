"""Idempotency keys: at most one execution per operation identity."""
