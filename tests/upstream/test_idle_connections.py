"""Connections to upstreams between two requests."""

import socket

import trio

from rattanlug.upstream import response_stream, upstream_socket

ID = b"request-id"
BODY = bytes(1000)


# Guards against idle connections to upstreams that each keep up to 64 KiB of the last
# response, in memory that isn't counted.
def test_an_idle_connection_keeps_no_part_of_the_last_response():
    async def main():
        own, peer = socket.socketpair()
        with own, peer:
            own.setblocking(False)
            stream = response_stream.ResponseStream(
                upstream_socket.UpstreamSocket(own, trio.current_time), ID
            )
            stream.begin_request(b"1", trio.current_time() + 5.0, lambda: None)
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1000\r\n\r\n"
            peer.sendall(head + BODY)
            received = b""
            while len(received) < len(head) + len(BODY):
                received += await stream.read(65536)
            assert stream.body == BODY
            stream.end_request()
            assert stream.body == b""

    trio.run(main)
