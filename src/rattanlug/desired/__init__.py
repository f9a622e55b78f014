"""Desired state that operators write: routes, services and organisations."""
