"""Rate limits of organisations: token buckets that VMs lend from and borrow of."""
