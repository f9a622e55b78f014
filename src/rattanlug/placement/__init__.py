"""Which upstream gets a request."""
