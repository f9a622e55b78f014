"""Look-up of the VMs to use for a client's IP address."""
