"""Randomised runs of the decision packages in virtual time."""
