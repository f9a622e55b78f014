"""Tests of finding the end of a chunked body."""

import pytest

from rattanlug.upstream import chunked

BODY = b"5\r\nhello\r\n3;x=y\r\nabc\r\n0\r\n\r\n"


def test_the_length_includes_the_framing_and_nothing_after_it():
    assert chunked.body_length(BODY) == len(BODY)
    assert chunked.body_length(BODY + b"HTTP/1.1 200 OK\r\n") == len(BODY)
    assert chunked.body_length(b"0\r\n\r\n") == 5


@pytest.mark.parametrize(
    "data", [b"", b"5", b"5\r\nhel", BODY[:-1], b"z\r\n", b"0\r\nX: 1\r\n\r\n"]
)
def test_an_incomplete_body_has_no_length(data):
    assert chunked.body_length(data) is None
