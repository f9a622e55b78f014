"""Rates of organisations: lending buckets and borrowed tokens."""
