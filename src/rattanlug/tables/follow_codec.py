"""Encodes and decodes the messages between a VM and the VMs that follow its tables."""

import math
from typing import Any

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from rattanlug.tables import follow_messages, store_row
from rattanlug.tables.generated import ttypes

PROTOCOL_VERSION = 1
_MILLISECONDS = 1000.0
_NEVER = -1.0
_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=1 << 20, container_length_limit=1 << 16
)


class UnreadableMessageError(ValueError):
    """The data isn't a valid message of this protocol version."""


def encode_request(request: follow_messages.FollowRequest) -> bytes:
    """Encode a request."""
    return _write(
        ttypes.FollowRequest(
            protocolVersion=PROTOCOL_VERSION,
            versions=request.versions,
            waitMilliseconds=int(request.wait * _MILLISECONDS),
            eras=request.eras,
        )
    )


def decode_request(data: bytes) -> follow_messages.FollowRequest:
    """Decode a request.

    Raises
    ------
    UnreadableMessageError
    """
    message = _read(ttypes.FollowRequest(), data)
    return follow_messages.FollowRequest(
        dict(message.versions or {}),
        max(0, message.waitMilliseconds or 0) / _MILLISECONDS,
        None if message.eras is None else dict(message.eras),
    )


def encode_answer(answer: follow_messages.FollowAnswer) -> bytes:
    """Encode a response."""
    failed = answer.store_failed
    return _write(
        ttypes.FollowAnswer(
            protocolVersion=PROTOCOL_VERSION,
            tables=[
                ttypes.Changes(
                    each.table,
                    each.whole,
                    [ttypes.Row(*row) for row in each.rows],
                    each.version,
                    each.age,
                    each.era,
                )
                for each in answer.tables
            ],
            storeClock=answer.store_clock,
            storeFailedSeconds=_NEVER if failed is None else failed,
        )
    )


def decode_answer(data: bytes) -> follow_messages.FollowAnswer:
    """Decode a response.

    Raises
    ------
    UnreadableMessageError
    """
    message = _read(ttypes.FollowAnswer(), data)
    try:
        tables = tuple(_changes(each) for each in message.tables or ())
        failed = _finite(message.storeFailedSeconds)
        clock = _finite(message.storeClock)
    except (TypeError, ValueError) as exc:
        raise UnreadableMessageError("missing or invalid field") from exc
    return follow_messages.FollowAnswer(tables, clock, None if failed < 0.0 else failed)


def _changes(message: ttypes.Changes) -> follow_messages.Changes:
    rows = tuple(
        store_row.StoreRow(
            _text(each.key),
            bytes(each.value or b""),
            int(each.version),
            bool(each.removed),
        )
        for each in message.rows or ()
    )
    return follow_messages.Changes(
        _text(message.table),
        bool(message.whole),
        rows,
        int(message.version),
        max(0.0, _finite(message.ageSeconds)),
        int(message.era or 0),
    )


def _text(found: str | None) -> str:
    if found is None:
        raise UnreadableMessageError("a text is missing")
    return found


def _finite(number: float) -> float:
    if not math.isfinite(number):
        raise UnreadableMessageError("a number is not finite")
    return number


def _write(message: Any) -> bytes:
    buffer = TTransport.TMemoryBuffer()
    message.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def _read(message: Any, data: bytes) -> Any:
    try:
        message.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
    except (
        Thrift.TException,
        AssertionError,
        EOFError,
        LookupError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        raise UnreadableMessageError(f"{type(exc).__name__}: {exc}") from exc
    if message.protocolVersion != PROTOCOL_VERSION:
        raise UnreadableMessageError("unsupported protocol version")
    return message
