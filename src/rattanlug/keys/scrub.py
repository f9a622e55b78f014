"""Reads a caller's key from a request, and keeps it from being sent to upstreams."""

import urllib.parse
from collections.abc import Iterable

from rattanlug.errors import error, kind

Headers = Iterable[tuple[bytes, bytes]]

_AUTHORIZATION = b"authorization"
_SCHEME = "bearer "
# Percent-decoding is repeated because an upstream may decode more than once.
_MAX_DECODINGS = 3


def read_key(headers: Headers) -> str:
    """Return the key that a request carries.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)

    Returns
    -------
    str

    Raises
    ------
    error.RefusedError
        ``key_unknown`` without a bearer token, ``request_malformed`` with more than
        one ``Authorization`` header or a token that is not visible ASCII.
    """
    values = [value for name, value in headers if name.lower() == _AUTHORIZATION]
    if len(values) > 1:
        raise _malformed("more than one Authorization header")
    text = values[0].decode("latin-1").strip() if values else ""
    if not text.lower().startswith(_SCHEME) or not text[len(_SCHEME) :].strip():
        raise error.RefusedError(
            kind.ErrorKind.KEY_UNKNOWN, "the route needs Authorization: Bearer <key>"
        )
    key = text[len(_SCHEME) :].strip()
    if not all("!" <= character <= "~" for character in key):
        raise _malformed("the key holds characters other than visible ASCII")
    return key


def remove_key(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers or trailers to forward, without ``Authorization``."""
    return [(name, value) for name, value in headers if name.lower() != _AUTHORIZATION]


def check_no_key(
    key: str, path: bytes, query: bytes, body: bytes, headers: Headers
) -> None:
    """Reject a request that contains its key outside ``Authorization``.

    Parameters
    ----------
    key : str
    path, query, body : bytes
        As received.
    headers : iterable of (bytes, bytes)
        Headers and trailers; ``Authorization`` isn't checked.

    Raises
    ------
    error.RefusedError
        ``request_malformed``; the message names the part, but doesn't contain the key.
    """
    needle = key.encode()
    parts = [("path", path), ("query", query), ("body", body)]
    for name, value in remove_key(headers):
        parts.append(("header", value))
        # Header names reach this code in lower case.
        if needle.lower() in name.lower():
            raise _malformed("a header name contains the key")
    for part, value in parts:
        if _contains(value, needle):
            raise _malformed(f"the {part} contains the key")


def _contains(value: bytes, needle: bytes) -> bool:
    for _ in range(_MAX_DECODINGS):
        if needle in value:
            return True
        decoded = urllib.parse.unquote_to_bytes(value)
        if decoded == value:
            return False
        value = decoded
    return needle in value


def _malformed(detail: str) -> error.RefusedError:
    return error.RefusedError(kind.ErrorKind.REQUEST_MALFORMED, detail)
