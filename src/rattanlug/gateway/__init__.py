"""The gateway daemon, which forwards requests to upstreams and runs on every VM."""
