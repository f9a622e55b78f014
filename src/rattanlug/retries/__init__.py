"""Bounds on sending a request to a second upstream."""
