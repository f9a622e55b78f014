"""Daemon of the entry VMs: does the I/O around the modules that make decisions."""
