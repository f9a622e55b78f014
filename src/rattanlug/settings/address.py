"""An IP address with a port."""

import ipaddress
from typing import NamedTuple

from rattanlug.settings import setting_types

MAX_PORT = 65535


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


def parse(text: str) -> Address:
    """Parse ``HOST:PORT``.

    Raises
    ------
    ValueError
        When the host is not an IP address or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    return Address(str(ipaddress.ip_address(host)), parse_port(port))


def parse_port(text: str) -> int:
    """Parse a decimal port number.

    Raises
    ------
    ValueError
    """
    # The length is checked because ``int`` rejects or is slow for very long numbers.
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))):
        raise ValueError("the port is not a number from 1 to 65535")
    port = int(text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError("the port is not a number from 1 to 65535")
    return port
