"""Experiments with the decision code in virtual time, on small, seeded models."""
