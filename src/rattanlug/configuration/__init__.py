"""Versions of the rule text and the deltas between them."""
