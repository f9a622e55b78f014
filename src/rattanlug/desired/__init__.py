"""Desired state, as set by operators: routes, services and organisations."""
