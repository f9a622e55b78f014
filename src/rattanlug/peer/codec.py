"""Encodes and decodes messages in the thrift compact protocol."""

from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from rattanlug.peer import decoded_message, error
from rattanlug.peer.generated import ttypes

PROTOCOL_VERSION = 1

#: No valid frame has a container with more elements. Without the limit, a few bytes
#: could make the decoder allocate gigabytes.
_MAX_CONTAINER_ELEMENTS = 65_536
_MAX_STRING_BYTES = 1 << 20

_FIRST_MESSAGE_FIELD = 4
_FIELD_OF_TYPE = {
    spec[3][0]: spec[2]
    for spec in ttypes.Envelope.thrift_spec[_FIRST_MESSAGE_FIELD:]
    if spec is not None
}
_MESSAGE_FIELDS = tuple(_FIELD_OF_TYPE.values())
_LIMITS = {
    "string_length_limit": _MAX_STRING_BYTES,
    "container_length_limit": _MAX_CONTAINER_ELEMENTS,
}
# Uses the C implementation when it is installed, else pure Python.
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(**_LIMITS)


def pure_python_factory() -> TCompactProtocol.TCompactProtocolFactory:
    """Return the protocol factory that a VM without the C module uses."""
    return TCompactProtocol.TCompactProtocolFactory(**_LIMITS)


def encode(id: int, sender: str, message: Any) -> bytes:
    """Encode one message with its envelope.

    Parameters
    ----------
    id : int
        Unique among the unanswered requests of a connection; 64 bits.
    sender : str
        Name of this VM.
    message : object
        A struct of ``rattanlug.thrift`` that the envelope can carry.

    Returns
    -------
    bytes
        Content of a frame, without its length.

    Raises
    ------
    TypeError
        If the envelope cannot carry ``message``.
    """
    field = _FIELD_OF_TYPE.get(type(message))
    if field is None:
        raise TypeError(f"{type(message).__name__} is not a message between daemons")
    envelope = ttypes.Envelope(id, PROTOCOL_VERSION, sender)
    setattr(envelope, field, message)
    transport = TTransport.TMemoryBuffer()
    envelope.write(_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode(data: bytes) -> decoded_message.DecodedMessage:
    """Decode the content of one frame.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    decoded_message.DecodedMessage

    Raises
    ------
    error.MalformedMessageError
        If ``data`` is not exactly one envelope with exactly one message.
    """
    envelope = ttypes.Envelope()
    transport = TTransport.TMemoryBuffer(data)
    try:
        envelope.read(_FACTORY.getProtocol(transport))
    except Exception as exc:
        # The library raises a dozen exception types for malformed input, among them
        # KeyError, AssertionError and RecursionError.
        raise error.MalformedMessageError(f"{type(exc).__name__}: {exc}") from exc
    if transport.cstringio_buf.tell() != len(data):
        raise error.MalformedMessageError("bytes follow the envelope")
    messages = [
        message
        for field in _MESSAGE_FIELDS
        if (message := getattr(envelope, field)) is not None
    ]
    if len(messages) != 1:
        raise error.MalformedMessageError(f"{len(messages)} messages in one envelope")
    return decoded_message.DecodedMessage(
        envelope.id, envelope.protocol_version, envelope.sender, messages[0]
    )
