"""Randomised soak test: daemons in separate processes under injected faults."""
