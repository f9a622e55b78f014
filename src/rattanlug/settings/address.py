"""An IP address with a port."""

from typing import NamedTuple

from rattanlug.settings import kinds


class Address(NamedTuple):
    """Where a process listens or connects.

    Attributes
    ----------
    host : str
        IP address; names are not accepted, since VMs address each other by number.
    port : int
        TCP port, 1 to 65535.
    """

    host: kinds.Host
    port: kinds.Port
