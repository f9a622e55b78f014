"""Rollouts of new versions of a service: schedule, version choice and rollback."""
