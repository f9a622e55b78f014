"""Seats: the fixed shares of global quantities and the leases on them."""
