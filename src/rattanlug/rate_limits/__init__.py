"""Rate limits of organisations over all VMs, and load shedding of a VM."""
