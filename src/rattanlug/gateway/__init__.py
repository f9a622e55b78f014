"""The gateway daemon, which runs on every VM."""
