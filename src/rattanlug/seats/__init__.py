"""Seats: fixed shares of fleet-wide limits, and the leases of VMs on them."""
