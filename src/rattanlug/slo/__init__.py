"""Service-level counts, multi-window burn rates and reports."""
