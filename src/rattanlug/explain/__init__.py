"""Finds the decisions about a request in the logs of all daemons."""
