"""Copies of the store's tables and their replication between VMs."""
