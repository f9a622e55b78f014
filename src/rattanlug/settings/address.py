"""An IP address with a port."""

from typing import NamedTuple

from rattanlug.settings import setting_types


class Address(NamedTuple):
    """Where a process listens or connects.

    Attributes
    ----------
    host : str
        IP address; host names are not accepted, since VMs address each other by IP.
    port : int
        TCP port, 1 to 65535.
    """

    host: setting_types.Host
    port: setting_types.Port
