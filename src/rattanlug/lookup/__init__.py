"""From a client's address to its block, its site and the VMs to use."""
