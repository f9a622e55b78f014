"""Sends requests to upstreams over pooled HTTP connections."""
