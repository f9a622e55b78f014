"""Identity of the sender of a request."""

from typing import NamedTuple


class Sender(NamedTuple):
    """The sender of a request, according to its envelope.

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
