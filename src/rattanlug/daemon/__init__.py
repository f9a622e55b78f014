"""The daemon on entry VMs: one loop that owns sockets and calls the decisions."""
