"""Periodic work of the daemon, one module per loop."""
