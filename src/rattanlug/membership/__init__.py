"""Which VMs exist and live, and which one to contact next."""
