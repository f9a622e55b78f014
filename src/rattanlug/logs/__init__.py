"""Logging of JSON lines."""
