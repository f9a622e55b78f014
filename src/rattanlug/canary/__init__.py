"""Moves of a service to a new version: how fast, and when to go back."""
