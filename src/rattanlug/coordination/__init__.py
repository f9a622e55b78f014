"""Freshness of a VM's information about the data centres and the platform."""
