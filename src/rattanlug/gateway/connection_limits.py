"""Numbers of connections that the limit of open descriptors allows."""

import resource
from typing import NamedTuple

from rattanlug.caller import server

# Standard streams, the event loop, listeners, connections to the store and to the VM
# that this one follows.
RESERVED_DESCRIPTORS = 32
# Descriptors that are left for connections to upstreams at most.
MAX_UPSTREAM_DESCRIPTORS = 512
# Each caller looks VMs up on its own connection; readiness is for the platform only.
_LOOKUPS_FRACTION = 6
_READINESS_FRACTION = 16
_FOLLOWERS_FRACTION = 8
_MIN_INTERNAL_CONNECTIONS = 4


class ConnectionLimits(NamedTuple):
    """Largest numbers of open connections.

    Attributes
    ----------
    callers : int
        Connections for requests of callers.
    lookups, readiness : int
        Connections for look-ups, and for readiness checks.
    followers, metrics : int
        Connections of VMs that follow this one, and for its metrics.
    """

    callers: int
    lookups: int
    readiness: int
    followers: int
    metrics: int


def connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Return limits that leave descriptors for everything else.

    Each request of a caller may need a connection to an upstream.

    Parameters
    ----------
    max_descriptors : int
        Limit of open file descriptors.
    """
    free = max(0, max_descriptors - RESERVED_DESCRIPTORS)
    lookups = max(_MIN_INTERNAL_CONNECTIONS, free // _LOOKUPS_FRACTION)
    readiness = max(_MIN_INTERNAL_CONNECTIONS, free // _READINESS_FRACTION)
    followers = max(_MIN_INTERNAL_CONNECTIONS, free // _FOLLOWERS_FRACTION)
    metrics = _MIN_INTERNAL_CONNECTIONS
    shared = free - lookups - readiness - followers - metrics
    callers = max(1, shared // 2, shared - MAX_UPSTREAM_DESCRIPTORS)
    return ConnectionLimits(
        *(
            min(server.MAX_CONNECTIONS, each)
            for each in (callers, lookups, readiness, followers, metrics)
        )
    )


def descriptor_limit(configured: int) -> int:
    """Return the configured limit, or that of the process if it is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)
