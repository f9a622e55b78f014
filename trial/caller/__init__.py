"""Callers that send load in an open loop and check every response."""
