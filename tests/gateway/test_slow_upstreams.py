"""Large bodies for upstreams that read them late."""

import functools
import re

import pytest
import trio

from tests.gateway import caller, test_large_bodies
from trial.shared_platform import fleet


async def answer_late(stream, seconds, size):
    """Answer an upload, of which little but the head is read at first."""
    async with stream:
        data = await stream.receive_some(4096)
        if not data.startswith(b"POST"):
            return
        head, _, body = data.partition(b"\r\n\r\n")
        identifier = re.search(rb"rattanlug-request-id: ([^\r]+)", head.lower())[1]
        received = len(body)
        await trio.sleep(seconds)
        while received < size:
            piece = await stream.receive_some(65536)
            if not piece:
                return
            received += len(piece)
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            b"Rattanlug-Request-Id: %b\r\n\r\n" % identifier
        )


# Guards against an upload that is broken off, though it may have run, because its
# upstream stops reading for a moment.
@pytest.mark.parametrize("size", [1 << 20, 20 << 20])
@pytest.mark.parametrize("seconds", [1.0, 2.5, 5.0])
@caller.in_trio
async def test_an_upstream_may_stop_reading_until_the_deadline(seconds, size):
    async with fleet.open_fleet() as deployment, trio.open_nursery() as nursery:

        async def serve(stream):
            await answer_late(stream, seconds, size)

        listen = functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
        (listening,) = await nursery.start(listen)
        port = listening.socket.getsockname()[1]
        add = deployment.add_upstream

        async def add_late(name):
            await add(name)
            deployment.register(name, address=f"127.0.0.1:{port}")

        deployment.add_upstream = add_late
        vm = await test_large_bodies.start(deployment)
        _, answer = await caller.send(
            vm,
            "/claim/1",
            "POST",
            bytes(size),
            timeout=10.0,
            Rattanlug_Deadline_Ms="9000",
        )
        assert answer.status == 200
        nursery.cancel_scope.cancel()
