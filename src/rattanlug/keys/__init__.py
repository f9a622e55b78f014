"""Keys of organisations: lookup, freshness, and what upstreams may see."""
