"""Connections to upstreams between two requests."""

import pickle
import socket

import pytest
import trio

from rattanlug.upstream import response_stream, upstream_socket

ID = b"request-id"
BODY = bytes(1000)


# Guards against idle connections to upstreams that each keep up to 64 KiB of the last
# response, in memory that isn't counted.
@pytest.mark.parametrize(
    "lines, framed",
    [
        (b"Content-Length: 1000\r\n", BODY),
        (b"Transfer-Encoding: chunked\r\n", b"3e8\r\n%b\r\n0\r\n\r\n" % BODY),
    ],
)
def test_an_idle_connection_keeps_no_part_of_the_last_response(lines, framed):
    async def main():
        own, peer = socket.socketpair()
        with own, peer:
            own.setblocking(False)
            stream = response_stream.ResponseStream(
                upstream_socket.UpstreamSocket(own, trio.current_time), ID
            )
            stream.begin_request(b"1", trio.current_time() + 5.0, lambda: None)
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + lines + b"\r\n"
            peer.sendall(head + framed)
            received = b""
            while len(received) < len(head) + len(framed):
                received += await stream.read(65536)
            stream.end_request()
            assert len(pickled(stream)) < len(BODY)

    trio.run(main)


def pickled(stream):
    """Return all that a stream holds, apart from its socket."""
    state = {name: value for name, value in vars(stream).items() if name != "_inner"}
    return pickle.dumps(state)
