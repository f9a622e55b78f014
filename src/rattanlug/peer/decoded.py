"""One message taken from the wire."""

from typing import Any, NamedTuple


class Decoded(NamedTuple):
    """Content of one frame.

    Attributes
    ----------
    id : int
        Chosen by the caller; a response repeats it.
    protocol_version : int
        Of the sender.
    sender : str
        Name of the VM.
    message : object
        A struct of ``rattanlug.thrift``.
    """

    id: int
    protocol_version: int
    sender: str
    message: Any
