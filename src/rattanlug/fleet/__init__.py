"""The other entry VMs: who is alive and what they report."""
