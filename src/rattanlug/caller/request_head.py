"""Fast and strict parser for the heads of requests that arrived complete."""

import re
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

_REQUEST_LINE = re.compile(rb"([A-Z]{3,7}) (/[!-~]*) HTTP/1\.1")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([ -~\t]*)")
_BLANKS = b" \t"
HEAD_END = b"\r\n\r\n"
# Requests with these headers are left to hypercorn.
_SPECIAL = frozenset({b"transfer-encoding", b"expect", b"upgrade"})


class RequestHead(NamedTuple):
    """Head of a request.

    Attributes
    ----------
    method : bytes
    target : bytes
        Path with query.
    headers : list of tuple of bytes
        Names in lower case.
    """

    method: bytes
    target: bytes
    headers: Headers


def parse_complete(data: bytes) -> RequestHead | None:
    """Return the head if the bytes are exactly one simple request, else None.

    Everything else, such as a body that has not arrived completely, gives None.
    """
    head, separator, body = data.partition(HEAD_END)
    if not separator:
        return None
    first, *lines = head.split(b"\r\n")
    request_line = _REQUEST_LINE.fullmatch(first)
    if request_line is None:
        return None
    headers: Headers = []
    length = None
    for line in lines:
        field = _FIELD.fullmatch(line)
        if field is None:
            return None
        name, value = field[1].lower(), field[2].strip(_BLANKS)
        if name in _SPECIAL or (name == b"content-length" and length is not None):
            return None
        if name == b"connection" and value.lower() != b"keep-alive":
            return None
        if name == b"content-length":
            length = value
        headers.append((name, value))
    if (length or b"0") != str(len(body)).encode():
        return None
    return RequestHead(request_line[1], request_line[2], headers)
