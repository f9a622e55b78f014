"""Randomised simulations of the decision packages in virtual time."""
