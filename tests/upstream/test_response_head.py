"""Tests of the check of response heads."""

import contextlib
import time

import httpcore
import pytest

from rattanlug.upstream import response_head

ID = b"request-id"
OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "found"),
    [
        (OWN, (False, b"mine", 2, False)),
        (OWN.replace(b": ", b":").upper(), (False, b"MINE", 2, False)),
        (OWN.replace(b"mine", b"\t mine \t"), (False, b"mine", 2, False)),
        (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", (True, None, None, False)),
        (
            b"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n",
            (False, None, None, True),
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", (False, None, None, False)),
        (b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n", (False, None, None, False)),
    ],
)
def test_a_head_tells_responses_apart(head, found):
    assert response_head.parse(head, ID) == found


@pytest.mark.parametrize(
    "line",
    [
        b"X: HTTP/1.1 200 OK",
        b"X: a\r\n Request-Id: other",
        b"X: a\r\n\tb",
        b"X: a\nRequest-Id: other",
        b"Request-Id: mine",
        b"request-id:other",
        b"Content-Length: 3",
        b"Content-Length: " + b"9" * 19,
    ],
)
def test_a_head_that_may_consist_of_two_is_rejected(line):
    with pytest.raises(httpcore.RemoteProtocolError):
        response_head.parse(OWN[:-2] + line + b"\r\n\r\n", ID)


# Guards against such a status in a response that is dropped as one to another request,
# so that a later one counts.
@pytest.mark.parametrize("identifier", [b"mine", b"other"])
@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 101 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 999",
        b"HTTP/1.1 20 X",
        b"HTTP/1.1 1000 X",
        b"HTTP/1.1 2O0 X",
        b"HTTP/1.1 -20 X",
        b"HTTP/1.1",
        b"HTTP/2.0 200 X",
    ],
)
def test_a_head_without_the_status_of_a_response_is_rejected(line, identifier):
    head = OWN.replace(b"HTTP/1.1 200 OK", line).replace(b"mine", identifier)
    with pytest.raises(httpcore.RemoteProtocolError):
        response_head.parse(head, ID)


# Guards against a refusal that is cut inside its head and continues with the head of
# the response, and is taken for a statement about that response's request.
def test_no_cut_of_a_refusal_makes_one_head_with_the_response():
    refusal = (
        b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: other\r\n"
        b"Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
    )
    for cut in range(1, len(refusal) - 3):
        with pytest.raises(httpcore.RemoteProtocolError):
            response_head.parse(refusal[:cut] + OWN, ID)


# Guards against a header that keeps the event loop busy for seconds.
@pytest.mark.parametrize("name", [b"X-Request-Id", b"Content-Length"])
def test_a_value_with_many_blanks_takes_little_time(name):
    head = b"HTTP/1.1 200 OK\r\n" + name + b": 1" + b" " * 30_000 + b"1\r\n\r\n"
    began = time.process_time()

    with contextlib.suppress(httpcore.RemoteProtocolError):
        response_head.parse(head, b"x-request-id")

    assert time.process_time() - began < 0.5
