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
    return Address(parse_host(host), parse_port(port))


def parse_host(text: str) -> str:
    """Parse an IP address; return its usual spelling.

    Raises
    ------
    ValueError
        When the text is not an IP address, or has a zone, which may be any text and
        only has a meaning on the VM that wrote it.
    """
    if "%" in text:
        raise ValueError("the IP address has a zone")
    return str(ipaddress.ip_address(text))


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
