"""Checks of the invariants on the data of a finished trial."""
