"""Responses that their upstream stops sending, in each form and at each byte."""

import functools
import socket
import struct

import httpcore
import pytest
import trio

from rattanlug.errors import error, executed
from rattanlug.metrics import counters
from rattanlug.upstream import client, connection_pools, memory_budget

HOST, ID = "127.0.0.1", b"request-id"
BODY = b"0123456789abcdef"
FIELDS = b"Request-Id: mine\r\nServer-Stamp: 3e1b.07\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
LENGTH = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 16\r\n\r\n"
CHUNKS = b"6\r\n012345\r\na\r\n6789abcdef\r\n0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n"
NOT_MODIFIED = b"HTTP/1.1 304 Not Modified\r\n" + FIELDS + b"Content-Length: 16\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Connection: close\r\n\r\n"
# Method, complete response, and the body that the caller must get.
FORMS = [
    ("GET", LENGTH + BODY, BODY),
    ("POST", LENGTH + BODY, BODY),
    ("PUT", INTERIM + LENGTH + BODY, BODY),
    ("GET", CHUNKED + CHUNKS, BODY),
    ("POST", INTERIM + INTERIM + CHUNKED + CHUNKS, BODY),
    ("HEAD", LENGTH, b""),
    ("HEAD", CHUNKED, b""),
    ("HEAD", INTERIM + LENGTH, b""),
    ("GET", NO_CONTENT, b""),
    ("PUT", NOT_MODIFIED, b""),
]
ALL_ENDS = [trio.SocketStream.aclose, "reset"]


def reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def send_with_pools(port, method, body):
    pools = connection_pools.ConnectionPools(
        HOST,
        ID,
        trio.current_time,
        counters.Counters(),
        memory_budget.MemoryBudget(1 << 28),
    )
    url = httpcore.URL(scheme=b"http", host=HOST.encode(), port=port, target=b"/")
    headers = [(b"host", b"u"), (ID, b"mine")]
    if body:
        headers.append((b"content-length", b"%d" % len(body)))
    try:
        found = await pools.send(
            HOST,
            port,
            lambda: httpcore.Request(method, url, headers=headers, content=body),
            b"mine",
            1.0,
            trio.current_time() + 5.0,
            lambda: None,
        )
        return found.answer
    finally:
        await pools.aclose()


async def send_with_client(port, method, body):
    tested = client.UpstreamClient(HOST)
    headers = [(b"host", b"u"), (ID, b"mine")]
    if body:
        headers.append((b"content-length", b"%d" % len(body)))
    try:
        return await tested.send(HOST, port, method, b"/", headers, body, 5.0)
    finally:
        await tested.aclose()


def exchange(send, method, pieces, end, body=b"", pause=0.0):
    """Send a request to an upstream that sends pieces and ends the connection.

    Returns the response or the error.
    """

    async def serve(stream):
        await stream.receive_some(65536)
        for piece in pieces:
            await stream.send_all(piece)
            await trio.sleep(pause)
        if end == "reset":
            reset(stream)
        else:
            await end(stream)

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host=HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            try:
                return await send(port, method, body)
            except error.UpstreamError as exc:
                return exc
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(main)


# Guards against an upstream that stops inside its response, and a caller that gets an
# empty or short response as a whole one.
@pytest.mark.parametrize("end", ALL_ENDS, ids=["close", "reset"])
@pytest.mark.parametrize("send", [send_with_pools, send_with_client])
@pytest.mark.parametrize(("method", "whole", "body"), FORMS)
def test_a_response_that_is_cut_at_any_byte_is_unknown(send, method, whole, body, end):
    found = exchange(send, method, [whole], trio.SocketStream.aclose)
    assert found.body == body
    for cut in range(len(whole)):
        found = exchange(send, method, [whole[:cut]], end)
        assert found.response.executed is executed.Executed.UNKNOWN


@pytest.mark.parametrize("cut", range(len(UNTIL_CLOSE) + 1))
def test_a_head_that_is_cut_before_a_body_until_the_close_is_unknown(cut):
    pieces = [UNTIL_CLOSE[:cut]]
    found = exchange(send_with_pools, "GET", pieces, "reset")
    assert found.response.executed is executed.Executed.UNKNOWN
    found = exchange(send_with_pools, "GET", pieces, trio.SocketStream.aclose)
    assert hasattr(found, "body") is (cut == len(UNTIL_CLOSE))


# Guards against a reset that is reported to the writing of the request, so that the
# response that it cut seems to end with its connection.
@pytest.mark.parametrize("size", [0, 32 << 20])
def test_a_reset_is_not_the_end_of_a_response(size):
    pieces = [UNTIL_CLOSE + BODY[:4]]
    for method in ("POST", "PUT"):
        found = exchange(
            send_with_pools, method, pieces, "reset", bytes(size), pause=0.05
        )
        assert found.response.executed is executed.Executed.UNKNOWN
