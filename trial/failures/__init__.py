"""Failures of real processes, injected under load."""
