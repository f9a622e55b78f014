"""Keys of organisations: look-up, freshness, and removal from forwarded requests."""
