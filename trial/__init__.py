"""Stand-ins, experiments and measurements; not part of the shipped package."""
