"""Load-balancing policies; each module registers one."""
