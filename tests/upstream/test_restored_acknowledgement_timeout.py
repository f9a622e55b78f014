"""Time limit for acknowledgements on connections that are used again."""

import socket
import time

import trio

from rattanlug.upstream import acknowledgement_timeout, upstream_socket
from tests.gateway import caller


# Guards against a dead upstream that is noticed late because an earlier request on its
# connection was read slowly.
@caller.in_trio
async def test_the_limit_is_restored_when_the_response_arrives():
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    raw = await upstream_socket.connect(
        *listening.getsockname(),
        "127.0.0.1",
        [acknowledgement_timeout.option()],
        1.0,
    )
    peer, _ = listening.accept()
    peer.setblocking(False)
    level, name, value = acknowledgement_timeout.option()
    connected = upstream_socket.UpstreamSocket(raw, time.monotonic)
    connected.set_deadline(time.monotonic() + 9.0)
    size = 32_000

    async def read_late():
        await trio.sleep(2.0)
        left = size
        while left:
            await trio.lowlevel.wait_readable(peer)
            left -= len(peer.recv(65536))
        peer.send(b"x")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_late)
        await connected.write(bytes(size))
        assert await connected.read(10) == b"x"
    assert raw.getsockopt(level, name) == value
    peer.close()
    listening.close()
    await connected.aclose()
