"""Stand-in for an upstream."""
