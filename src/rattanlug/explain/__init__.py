"""Finds the decisions about one request in the logs of all daemons."""
