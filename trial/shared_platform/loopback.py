"""Loopback addresses of stand-in VMs."""

import os

# Number of distinct /24 networks, 127.128.0.0 to 127.191.255.0, one for each process.
_NETWORKS = 64 * 256


def host(number: int) -> str:
    """Return the address of a VM, which no other test process on this machine uses.

    Parameters
    ----------
    number : int
        From 1 to 254.
    """
    network = os.getpid() % _NETWORKS
    return f"127.{128 + network // 256}.{network % 256}.{number}"
