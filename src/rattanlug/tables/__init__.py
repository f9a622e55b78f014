"""Copies of the store's tables, and how they pass from one VM to the others."""
