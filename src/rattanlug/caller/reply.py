"""A response to a caller."""

import http
import json
from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.errors import error, executed

Headers = list[tuple[bytes, bytes]]

RAN_HEADER = b"rattanlug-ran"
_MIN_ERROR_STATUS = 400
_PHRASES = {each.value: each.phrase.encode() for each in http.HTTPStatus}


class Reply(NamedTuple):
    """Status, headers and body to send.

    Attributes
    ----------
    status : int
    headers : list of tuple of bytes
    body : bytes
    """

    status: int
    headers: Headers
    body: bytes


def from_json(
    value: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Reply:
    """Build a reply with a JSON body.

    Parameters
    ----------
    value : object
    status : int
    headers : Mapping of str to str, optional

    Returns
    -------
    Reply
    """
    body = json.dumps(value, separators=(",", ":")).encode() + b"\n"
    return Reply(status, _headers(b"application/json", body, headers or {}), body)


def from_text(text: str, content_type: str = "text/plain; charset=utf-8") -> Reply:
    """Build a reply with a text body."""
    body = text.encode()
    return Reply(200, _headers(content_type.encode(), body, {}), body)


def from_error(exc: error.RattanlugError) -> Reply:
    """Build the reply for an error; its kind determines the status.

    Parameters
    ----------
    exc : error.RattanlugError

    Returns
    -------
    Reply
        Its body and its ``Rattanlug-Ran`` header state whether the request was
        executed.
    """
    response = exc.response
    extra = {"Rattanlug-Ran": response.executed.value}
    if response.retry_after is not None:
        extra["Retry-After"] = f"{response.retry_after:.3g}"
    value = {
        "kind": exc.kind.value,
        "detail": exc.detail,
        "ran": response.executed.value,
    }
    return from_json(value, response.status, extra)


def to_bytes(response: Reply) -> bytes:
    """Encode a response as HTTP/1.1."""
    lines = [b"HTTP/1.1 %d %s" % (response.status, _PHRASES.get(response.status, b""))]
    lines.extend(b"%s: %s" % each for each in response.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def states_not_run(status: int, headers: Headers) -> bool:
    """Tell whether a response states that the request was not executed.

    A success contradicts the statement, so that it doesn't count there.
    """
    values = [value for name, value in headers if name.lower() == RAN_HEADER]
    # A header with several values is ambiguous and doesn't count.
    return status >= _MIN_ERROR_STATUS and values == [
        executed.Executed.NO.value.encode()
    ]


def _headers(content_type: bytes, body: bytes, extra: Mapping[str, str]) -> Headers:
    result = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    result.extend(
        (name.lower().encode(), value.encode()) for name, value in extra.items()
    )
    return result
