"""What the headers of a caller's request say."""

from typing import NamedTuple

from rattanlug.platform import names

Headers = list[tuple[bytes, bytes]]

_MILLISECONDS = 1000.0
# Headers that concern one connection only, or that the system sets itself.
_NOT_FORWARDED = frozenset(
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
        names.TIME_LEFT_MS,
        names.EXPECTED_UPSTREAM,
        names.ORGANISATION,
    }
)


class RequestHeaders(NamedTuple):
    """Decoded headers of a request.

    Attributes
    ----------
    request_id : str
    time_left : float or None
        How long the caller waits, seconds; None when it does not say.
    key : str or None
        Key of the caller's organisation.
    object_id : str or None
        Equal for requests that concern the same object.
    host : str
    """

    request_id: str
    time_left: float | None
    key: str | None
    object_id: str | None
    host: str


def decode(headers: Headers) -> RequestHeaders:
    """Decode the headers of a caller's request; names are in lower case."""
    found = dict(headers)
    return RequestHeaders(
        found.get(names.REQUEST_ID, b"").decode("latin-1"),
        _seconds(found.get(names.TIME_LEFT_MS)),
        _key(found.get(names.AUTHORIZATION, b"").decode("latin-1")),
        _object_id(found.get(b"cookie", b"").decode("latin-1")),
        found.get(b"host", b"").decode("latin-1"),
    )


def forwarded(
    headers: Headers, organisation: str | None, hide_key: bool, body_length: int | None
) -> Headers:
    """Return the headers that every upstream gets for a request.

    Parameters
    ----------
    headers : list of tuple of bytes
        The caller's, names in lower case.
    organisation : str or None
        Whose request it is; None when it came without a key.
    hide_key : bool
        Whether the caller's key is left out.
    body_length : int or None
        None when the request has no body.
    """
    dropped = _NOT_FORWARDED | _named_by_connection(headers)
    if hide_key:
        dropped = dropped | {names.AUTHORIZATION}
    result = [(name, value) for name, value in headers if name not in dropped]
    if organisation is not None:
        result.append((names.ORGANISATION, organisation.encode()))
    if body_length is not None:
        result.append((b"content-length", str(body_length).encode()))
    return result


def for_upstream(headers: Headers, upstream_id: str, time_left: float) -> Headers:
    """Add the headers that concern one send.

    Parameters
    ----------
    headers : list of tuple of bytes
        Result of `forwarded`.
    upstream_id : str
        Any other upstream at the address refuses the request.
    time_left : float
        Seconds.
    """
    milliseconds = max(1, int(time_left * _MILLISECONDS))
    return [
        *headers,
        (names.EXPECTED_UPSTREAM, upstream_id.encode()),
        (names.TIME_LEFT_MS, str(milliseconds).encode()),
    ]


def _seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value) / _MILLISECONDS
    except ValueError:
        return None


def _key(authorization: str) -> str | None:
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != names.KEY_SCHEME or not key.strip():
        return None
    return key.strip()


def _object_id(text: str) -> str | None:
    for each in text.split(";"):
        name, _, value = each.partition("=")
        if name.strip() == names.OBJECT_COOKIE:
            return value.strip().strip('"')
    return None


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )
