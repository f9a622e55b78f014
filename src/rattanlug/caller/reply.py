"""An answer to a caller."""

import http
import json
from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.errors import error, executed

Headers = list[tuple[bytes, bytes]]

RAN_HEADER = b"rattanlug-ran"
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
    """Build the reply of the table from error kind to answer.

    Parameters
    ----------
    exc : error.RattanlugError

    Returns
    -------
    Reply
        Its body and its ``Rattanlug-Ran`` header state whether the request ran.
    """
    answer = exc.response
    extra = {"Rattanlug-Ran": answer.executed.value}
    if answer.retry_after is not None:
        extra["Retry-After"] = f"{answer.retry_after:.3g}"
    value = {"kind": exc.kind.value, "detail": exc.detail, "ran": answer.executed.value}
    return from_json(value, answer.status, extra)


def to_bytes(answer: Reply) -> bytes:
    """Return a whole answer as it goes over the wire."""
    lines = [b"HTTP/1.1 %d %s" % (answer.status, _PHRASES.get(answer.status, b""))]
    lines.extend(b"%s: %s" % each for each in answer.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body


def states_not_run(headers: Headers) -> bool:
    """Tell whether headers of an answer state that the request did not run."""
    values = [value for name, value in headers if name.lower() == RAN_HEADER]
    # An answer that states several things states nothing.
    return values == [executed.Executed.NO.value.encode()]


def _headers(content_type: bytes, body: bytes, extra: Mapping[str, str]) -> Headers:
    result = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    result.extend(
        (name.lower().encode(), value.encode()) for name, value in extra.items()
    )
    return result
