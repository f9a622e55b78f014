"""The daemon's own HTTP endpoints, one module per path."""
