"""Registered upstreams and the properties that they report."""
