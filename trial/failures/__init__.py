"""Failure injection into running deployments under load."""
