"""Service-level objectives: request counts, multi-window burn rates and reports."""
