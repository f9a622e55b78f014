"""Decodes and forwards the headers of an upstream's response."""

from typing import NamedTuple

from rattanlug.platform import names
from rattanlug.settings import address

Headers = list[tuple[bytes, bytes]]

_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        names.UPSTREAM_LOAD,
        names.NOT_EXECUTED,
    }
)

# More requests than connections from one VM; such a load report is wrong.
_MAX_BUSY = address.MAX_PORT


class ResponseHeaders(NamedTuple):
    """Decoded headers of a response.

    Attributes
    ----------
    not_executed : bool
        The upstream states that it did not execute the request, and the statement is
        certain to be about this request.
    ambiguous : bool
        The upstream makes that statement, but not in a way that is certain.
    has_not_executed_status : bool
        Callers take the status for that statement.
    misdirected : bool
        The address now belongs to another upstream.
    busy : int or None
        Requests running or queued at the upstream; None if not reported.
    leaving : bool
        The upstream closes the connection.
    idle_seconds : float or None
        Idle timeout of the upstream's connections; None if not reported.
    """

    not_executed: bool
    ambiguous: bool
    has_not_executed_status: bool
    misdirected: bool
    busy: int | None
    leaving: bool
    idle_seconds: float | None


def decode(status: int, headers: Headers, identifier: bytes) -> ResponseHeaders:
    """Decode the status and headers of a response.

    A statement that the request was not executed is certain if the response repeats
    the identifier of the request, has the status of a refusal and lacks the stamp that
    an upstream adds to the response to a request that it executed.

    Parameters
    ----------
    status : int
    headers : list of tuple of bytes
        Names in lower case.
    identifier : bytes
        Identifier of the request; empty if it has none.
    """
    by_name = dict(headers)
    has_stamp = names.SERVER_STAMP in by_name
    misdirected = status == names.MISDIRECTED_REQUEST_STATUS and not has_stamp
    is_statement = names.NOT_EXECUTED in by_name or misdirected
    is_certain = (
        status in names.REFUSAL_STATUSES
        and not has_stamp
        and by_name.get(names.REQUEST_ID, b"") == identifier
    )
    return ResponseHeaders(
        not_executed=is_statement and is_certain,
        ambiguous=is_statement and not is_certain,
        has_not_executed_status=status in names.NOT_EXECUTED_STATUSES,
        misdirected=misdirected and is_certain,
        busy=_decode_load(by_name.get(names.UPSTREAM_LOAD)),
        leaving=b"close" in by_name.get(b"connection", b"").lower(),
        idle_seconds=_decode_idle_seconds(by_name.get(b"keep-alive", b"")),
    )


def forwarded(headers: Headers, body_length: int) -> Headers:
    """Return the headers of a response that are forwarded to the caller."""
    result = [(name, value) for name, value in headers if name not in _DROPPED_HEADERS]
    result.append((b"content-length", str(body_length).encode()))
    return result


def _decode_load(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        running, waiting, *_ = (int(each) for each in value.split(b","))
    except ValueError:
        return None
    busy = max(0, running) + max(0, waiting)
    return busy if busy <= _MAX_BUSY else None


def _decode_idle_seconds(value: bytes) -> float | None:
    for each in value.split(b","):
        name, _, seconds = each.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
