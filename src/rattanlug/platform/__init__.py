"""Adapter for the users' platform: its names, formats and calls, and no decision."""
