"""Who sent a request."""

from typing import NamedTuple


class Sender(NamedTuple):
    """The other end of a request, as far as its envelope tells.

    Attributes
    ----------
    vm : str
        Name of the VM.
    protocol_version : int
    host : str
        Source address of the connection.
    """

    vm: str
    protocol_version: int
    host: str
