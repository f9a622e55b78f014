"""Relay that adds link delays and cuts links between data centres."""
