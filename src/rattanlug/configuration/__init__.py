"""Versions of the rule text: the newest one known and the steps between them."""
