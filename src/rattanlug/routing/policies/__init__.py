"""Ways to pick an upstream; each module registers one."""
