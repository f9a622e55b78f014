"""Rate limits of organisations: token buckets, and loans of tokens between VMs."""
