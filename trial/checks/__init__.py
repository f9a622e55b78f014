"""Checks of a finished trial against the invariants."""
