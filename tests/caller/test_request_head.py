"""Tests of the parser for complete request heads."""

import time

import pytest

from rattanlug.caller import request_head

HEAD = b"GET /view/x HTTP/1.1\r\nHost: host.example\r\n"
MAX_SECONDS = 0.5


@pytest.mark.parametrize(
    ("line", "value"),
    [
        (b"X-Name: a", b"a"),
        (b"X-Name:a", b"a"),
        (b"X-Name: \t a  b \t", b"a  b"),
        (b"X-Name:", b""),
        (b"X-Name:  ", b""),
    ],
)
def test_a_value_lacks_the_blanks_around_it(line, value):
    head = request_head.parse_complete(HEAD + line + b"\r\n\r\n")

    assert head.headers[-1] == (b"x-name", value)


# Guards against a header that keeps the event loop busy for seconds.
@pytest.mark.parametrize("end", [b"b", b"\x00"])
def test_a_value_with_many_blanks_takes_little_time(end):
    data = HEAD + b"X-Name: a" + b" " * 30_000 + end + b"\r\n\r\n"
    began = time.process_time()

    head = request_head.parse_complete(data)

    assert time.process_time() - began < MAX_SECONDS
    assert (head is None) == (end == b"\x00")
