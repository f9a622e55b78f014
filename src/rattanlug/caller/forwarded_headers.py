"""Headers that are forwarded between callers and upstreams."""

import re
import uuid

from rattanlug.keys import scrub

Headers = list[tuple[bytes, bytes]]

REQUEST_ID = b"request-id"
REQUEST_TIMEOUT = b"request-timeout"
ORGANISATION = b"rattanlug-organisation"

# Hop-by-hop headers of RFC 9110, section 7.6.1, and headers that are set again below.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        REQUEST_ID,
        REQUEST_TIMEOUT,
    }
)
_OWN_PREFIX = b"rattanlug-"
_RAN = _OWN_PREFIX + b"ran"
_MILLISECONDS_PER_SECOND = 1000
_REQUEST_ID_FORM = re.compile(rb"[!-~]{1,128}")


def request_id(headers: Headers) -> str:
    """Return the caller's ``Request-Id``, or a new one.

    A value that is empty, too long or not visible ASCII is replaced.
    """
    for name, value in headers:
        if name == REQUEST_ID and _REQUEST_ID_FORM.fullmatch(value):
            return value.decode("ascii")
    return uuid.uuid4().hex


def to_upstream(
    headers: Headers,
    host: str,
    body: bytes,
    identifier: str,
    remaining: float,
    organisation: str,
) -> Headers:
    """Return the headers of a request to an upstream.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers of the caller.
    host : str
        Value of ``Host``.
    body : bytes
    identifier : str
        ``Request-Id``, which the upstream copies to its response.
    remaining : float
        Seconds until the deadline.
    organisation : str
        Organisation of the key, empty on open routes.

    Returns
    -------
    list of tuple of bytes
    """
    result = _end_to_end(scrub.remove_key(headers))
    result.append((b"host", host.encode()))
    result.append((b"content-length", str(len(body)).encode()))
    result.append((REQUEST_ID, identifier.encode()))
    milliseconds = int(remaining * _MILLISECONDS_PER_SECOND)
    result.append((REQUEST_TIMEOUT, str(milliseconds).encode()))
    if organisation:
        result.append((ORGANISATION, organisation.encode()))
    return result


def to_caller(headers: Headers, body: bytes, identifier: str) -> Headers:
    """Return the headers of a response to the caller.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers of the upstream.
    body : bytes
    identifier : str
        ``Request-Id`` of the request.

    Returns
    -------
    list of tuple of bytes
    """
    result = _end_to_end(headers)
    result.append((b"content-length", str(len(body)).encode()))
    # An upstream that gave up a request may or may not have executed it.
    ran = b"unknown" if (_RAN, b"unknown") in headers else b"yes"
    result.append((_RAN, ran))
    result.append((REQUEST_ID, identifier.encode()))
    return result


def _end_to_end(headers: Headers) -> Headers:
    named = set()
    for name, value in headers:
        if name == b"connection":
            named |= {token.strip().lower() for token in value.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in _NOT_FORWARDED
        and name not in named
        and not name.startswith(_OWN_PREFIX)
    ]
