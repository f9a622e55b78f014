"""Decodes and forwards the headers of a caller's request."""

import math
from typing import NamedTuple

from rattanlug.platform import names

Headers = list[tuple[bytes, bytes]]

_MILLISECONDS = 1000.0
# Hop-by-hop headers, and those that the gateway sets itself.
_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        names.DEADLINE_MS,
        names.EXPECTED_UPSTREAM,
        names.ORGANISATION,
    }
)


class RequestHeaders(NamedTuple):
    """Decoded headers of a request.

    Attributes
    ----------
    request_id : str
        Empty if not given.
    time_left : float or None
        Time until the caller's deadline, seconds; None if not given.
    key : str or None
        API key of the caller's organisation.
    object_id : str or None
        Value of the affinity cookie, which identifies the requested object.
    host : str
    """

    request_id: str
    time_left: float | None
    key: str | None
    object_id: str | None
    host: str


def decode(headers: Headers) -> RequestHeaders:
    """Decode the headers of a caller's request; header names are in lower case."""
    by_name = dict(headers)
    return RequestHeaders(
        by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
        _decode_seconds(by_name.get(names.DEADLINE_MS)),
        _decode_key(by_name.get(names.AUTHORIZATION, b"").decode("latin-1")),
        _decode_object_id(by_name.get(b"cookie", b"").decode("latin-1")),
        by_name.get(b"host", b"").decode("latin-1"),
    )


def forwarded(
    headers: Headers, organisation: str | None, hide_key: bool, body_length: int | None
) -> Headers:
    """Return the headers to forward, whichever upstream is chosen.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers of the caller's request; names are in lower case.
    organisation : str or None
        Organisation of the caller; None for a request without a key.
    hide_key : bool
        Whether to remove the caller's key.
    body_length : int or None
        Bytes; None if the request has no body.
    """
    dropped = _DROPPED_HEADERS | _connection_options(headers)
    if hide_key:
        dropped = dropped | {names.AUTHORIZATION}
    result = [(name, value) for name, value in headers if name not in dropped]
    if organisation is not None:
        result.append((names.ORGANISATION, organisation.encode()))
    if body_length is not None:
        result.append((b"content-length", str(body_length).encode()))
    return result


def for_upstream(headers: Headers, upstream_id: str, time_left: float) -> Headers:
    """Add the headers that are specific to one send.

    Parameters
    ----------
    headers : list of tuple of bytes
        Result of `forwarded`.
    upstream_id : str
        Upstream to which the request is sent; any other one at the address rejects it.
    time_left : float
        Time until the deadline, seconds.
    """
    milliseconds = max(1, int(time_left * _MILLISECONDS))
    return [
        *headers,
        (names.EXPECTED_UPSTREAM, upstream_id.encode()),
        (names.DEADLINE_MS, str(milliseconds).encode()),
    ]


def _decode_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value) / _MILLISECONDS
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _decode_key(authorization: str) -> str | None:
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != names.AUTHORIZATION_SCHEME or not key.strip():
        return None
    return key.strip()


def _decode_object_id(cookies: str) -> str | None:
    for each in cookies.split(";"):
        name, _, value = each.partition("=")
        if name.strip() == names.AFFINITY_COOKIE:
            return value.strip().strip('"')
    return None


def _connection_options(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )
