"""Error kinds, exceptions and the HTTP response for each kind."""
