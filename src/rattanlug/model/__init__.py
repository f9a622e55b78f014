"""Immutable configuration records."""
