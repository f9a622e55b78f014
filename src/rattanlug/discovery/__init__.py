"""Which upstreams exist and what they say of themselves."""
