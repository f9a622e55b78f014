"""Adapter for the platform on which the VMs run: names, formats and calls, no logic."""
