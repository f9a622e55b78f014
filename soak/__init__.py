"""Randomised soak: real daemons in processes of their own, with faults from outside."""
