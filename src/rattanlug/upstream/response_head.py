"""Checks the heads of responses and finds what tells responses apart."""

import functools
import re
from typing import NamedTuple

import httpcore

from rattanlug.encoding import http_status

# The HTTP library takes some microseconds and hundreds of bytes for each line.
MAX_HEADER_LINES = 1000
# Longest Content-Length, which fits into 64 bits.
MAX_LENGTH_DIGITS = 18
# Their responses have no body, whatever length they state.
_EMPTY_STATUSES = frozenset({204, 304})
_LINE_END = b"\r\n"
_FIRST_LINE = re.compile(rb"HTTP/1\.[0-9] ([0-9]{3})[ \r]")
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [0-9]{3}")
_LENGTH = b"content-length"
_BLANKS = b" \t"


class ResponseHead(NamedTuple):
    """What tells a response from those to other requests.

    Attributes
    ----------
    is_interim : bool
        Another response to the same request follows.
    identifier : bytes or None
    body_length : int or None
        Bytes, unless the request was a HEAD; None if the head does not state it.
    is_chunked : bool
        Whether a body follows in chunks, unless the request was a HEAD.
    """

    is_interim: bool
    identifier: bytes | None
    body_length: int | None
    is_chunked: bool = False


def check_line_ends(data: bytes | bytearray) -> None:
    """Check that each line of a possibly incomplete head ends with CR LF.

    The HTTP library also accepts a single LF, so that it would find the end of a head
    elsewhere than the streams that count the bytes of a response.

    Raises
    ------
    httpcore.RemoteProtocolError
    """
    if data.count(b"\n") != data.count(_LINE_END):
        raise httpcore.RemoteProtocolError("a line of the head has no CR")


def parse(head: bytes, identifier_header: bytes) -> ResponseHead:
    """Check a complete head.

    An upstream that stops inside a head may continue with that of another response.
    Together they would be one head with the status of the first and the identifier of
    the second, so a head that may consist of two is not accepted. Nor is one with a
    status that no response has.

    Parameters
    ----------
    head : bytes
        From the status line to the empty line.
    identifier_header : bytes
        Header that each response copies from its request, in lower case.

    Raises
    ------
    httpcore.RemoteProtocolError
    """
    check_line_ends(head)
    if head.count(_LINE_END) > MAX_HEADER_LINES:
        raise httpcore.RemoteProtocolError("a head has too many lines")
    status = _status(head)
    if b"\r\n " in head or b"\r\n\t" in head:
        raise httpcore.RemoteProtocolError("a header has a continuation line")
    if _STATUS_LINE.search(head, 1):
        raise httpcore.RemoteProtocolError("a head contains another status line")
    identifier, length, has_coding = None, None, False
    for name, padded in _pattern(identifier_header).findall(head):
        lower, value = name.lower(), padded.strip(_BLANKS)
        if lower == identifier_header:
            if identifier is not None:
                raise httpcore.RemoteProtocolError("a head has two identifiers")
            identifier = value
        elif lower == _LENGTH:
            if length not in (None, value):
                raise httpcore.RemoteProtocolError("a head has two lengths")
            length = value
        else:
            has_coding = True
    if length is not None and len(length) > MAX_LENGTH_DIGITS:
        # The HTTP library raises errors of other types for numbers of thousands of
        # digits.
        raise httpcore.RemoteProtocolError("the Content-Length is too large")
    has_length = length is not None and length.isdigit() and not has_coding
    body_length = int(length) if has_length else None
    is_interim = status in http_status.INTERIM
    if status in _EMPTY_STATUSES:
        body_length = 0
    # The HTTP library rejects any other coding.
    is_chunked = has_coding and not is_interim and status not in _EMPTY_STATUSES
    return ResponseHead(is_interim, identifier, body_length, is_chunked)


def _status(head: bytes) -> int:
    """Return the status of a head.

    Raises
    ------
    httpcore.RemoteProtocolError
        No response of HTTP/1 has this status line.
    """
    found = _FIRST_LINE.match(head)
    if found is None:
        raise httpcore.RemoteProtocolError("the status line is malformed")
    status = int(found[1])
    if status not in http_status.FINAL and status not in http_status.INTERIM:
        raise httpcore.RemoteProtocolError(f"no response has the status {status:03}")
    return status


@functools.cache
def _pattern(identifier_header: bytes) -> re.Pattern[bytes]:
    names = re.escape(identifier_header) + rb"|content-length|transfer-encoding"
    return re.compile(rb"\r\n(" + names + rb"):([^\r\n]*)", re.IGNORECASE)
