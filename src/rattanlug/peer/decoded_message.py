"""A decoded message with the fields of its envelope."""

from typing import Any, NamedTuple


class DecodedMessage(NamedTuple):
    """Content of one frame.

    Attributes
    ----------
    id : int
        Chosen by the sender of the request; a response repeats it.
    protocol_version : int
        Protocol version of the sender.
    sender : str
        Name of the VM that sent the message.
    message : object
        A struct of ``rattanlug.thrift``.
    """

    id: int
    protocol_version: int
    sender: str
    message: Any
