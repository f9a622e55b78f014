"""The other VMs of the fleet: liveness and the digests that they send."""
