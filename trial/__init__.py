"""Trials of a whole deployment on one machine: stand-ins, launcher and load."""
