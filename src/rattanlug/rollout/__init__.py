"""Moves of traffic between versions: exposure, judgement, steps."""
