"""Operator actions and faults that a trial performs under load."""
